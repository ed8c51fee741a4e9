/**
 * Code that listeners and HTTP clients share: the timer of a connection, reading bytes that have arrived on a
 * connection, and the decoder that detects malformed responses accepted by Netty.
 *
 * <p>May use: Netty.
 */
package loftflow.http;
