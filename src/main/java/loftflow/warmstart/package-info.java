/**
 * Warm start: preserves the state of a relay's endpoints across restarts. Decides the trust in restored endpoints,
 * which parts of a discovery list are accepted at once, and how many bytes may be written. Uses no sockets, files,
 * clocks or threads; callers pass in the time.
 *
 * <p>May use: the types of the decision module, {@code clock}.
 */
package loftflow.warmstart;
