/**
 * Persistence of warm start: snapshot files of two generations, a delta file beside each, and the writer that fills
 * them within a byte budget.
 *
 * <p>May use: {@code warmstart}, {@code recordfile}, the types of the decision module, {@code log}.
 */
package loftflow.warmstart.store;
