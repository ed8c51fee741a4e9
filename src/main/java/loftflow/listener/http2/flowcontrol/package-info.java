/**
 * Limits and state machines of HTTP/2 connections, without I/O: resource limits, and the close of streams and
 * connections. Times are in microseconds of one clock, sizes in bytes.
 *
 * <p>May use: nothing of the relay; no sockets, files, clocks, threads or Netty.
 */
package loftflow.listener.http2.flowcontrol;
