/**
 * What listeners and HTTP clients share: the timer of a connection, reading what has arrived on one, and the decoder
 * that finds malformed responses which Netty accepts.
 *
 * <p>May use: Netty.
 */
package loftflow.http;
