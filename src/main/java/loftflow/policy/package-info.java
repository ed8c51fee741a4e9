/**
 * The delivery decisions of a relay: the route, time and timeout of each attempt, and whether a message is held back,
 * rejected or failed. Times are in microseconds on the clock of the rounds. An instance belongs to one thread;
 * instances share no state.
 *
 * <p>May use: {@code policy.api}; no socket, file, clock or thread.
 */
package loftflow.policy;
