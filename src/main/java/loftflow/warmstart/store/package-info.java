/**
 * The files in which a relay keeps what it remembers: two generations of a picture, and notes since each.
 *
 * <p>May use: {@code warmstart}, {@code recordfile}, the types of the decision module, {@code log}.
 */
package loftflow.warmstart.store;
