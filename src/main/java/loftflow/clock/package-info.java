/**
 * The machine's clocks, and what they show of the time between two processes of a relay.
 *
 * <p>May use: {@code recordfile} and the log; files, but no network.
 */
package loftflow.clock;
