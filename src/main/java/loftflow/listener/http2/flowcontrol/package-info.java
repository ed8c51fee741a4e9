/**
 * Decisions about HTTP/2 connections, apart from I/O: what a connection may cost, and how streams and connections end.
 * Times are microseconds of one clock, sizes are bytes.
 *
 * <p>May use: nothing of the relay; no sockets, files, clocks, threads or Netty.
 */
package loftflow.listener.http2.flowcontrol;
