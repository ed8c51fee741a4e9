/**
 * Connection handling that every listener shares: accepting sockets, the connection limit, the memory bound of partly
 * received requests, and the age of pending bytes.
 *
 * <p>May use: the engine's clock and event-loop lag, the log and Netty.
 */
package loftflow.listener.connection;
