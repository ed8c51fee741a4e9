/**
 * The delivery decisions of a relay: which route, when, how long, and whether to hold, reject or fail. Times are
 * microseconds
 * on the clock of the rounds. One instance belongs to one thread; instances share nothing.
 *
 * <p>May use: {@code policy.api}; no socket, file, clock or thread.
 */
package loftflow.policy;
