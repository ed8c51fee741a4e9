/**
 * What every listener has: connections taken in within a bound, and the room that half-read requests share.
 *
 * <p>May use: the engine's clock and pulse, the log and Netty.
 */
package loftflow.listener.connection;
