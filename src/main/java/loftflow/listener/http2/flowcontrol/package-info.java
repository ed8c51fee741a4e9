/**
 * What one HTTP/2 connection may cost, and how a stream and a connection end: decisions alone. Times are microseconds
 * of
 * one clock, sizes bytes.
 *
 * <p>May use: nothing of the relay; no sockets, files, clocks, threads or Netty.
 */
package loftflow.listener.http2.flowcontrol;
