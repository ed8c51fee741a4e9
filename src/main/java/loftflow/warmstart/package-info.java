/**
 * Warm start: what a relay knows of its endpoints across restarts. Decides how far a restored endpoint is trusted,
 * which parts of a discovery list are accepted at once, and how many bytes may be written. Free of sockets, files,
 * clocks and threads; callers pass every time in.
 *
 * <p>May use: the types of the decision module.
 */
package loftflow.warmstart;
