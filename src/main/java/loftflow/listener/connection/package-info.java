/**
 * Connection handling that all listeners share: accepting connections, the connection limit, the memory limit of partly
 * received requests, and the arrival time of pending bytes.
 *
 * <p>May use: the engine's clock and event-loop lag, the log and Netty.
 */
package loftflow.listener.connection;
