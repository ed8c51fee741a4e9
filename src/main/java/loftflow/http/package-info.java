/**
 * What listeners and upstream clients share for HTTP: the timer of a connection, and reading what has arrived on one.
 *
 * <p>May use: Netty.
 */
package loftflow.http;
