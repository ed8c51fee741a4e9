/**
 * The HTTP/1.1 listener: reads requests within limits, submits messages through
 * {@link loftflow.engine.MessageAcceptor} and responds. The entry point is {@link loftflow.listener.http.HttpListener}.
 *
 * <p>May use: the engine, {@code listener.connection}, {@code listener.request}, {@code http},
 * {@code memory}, the log and Netty; not the
 * upstream clients, the journal or discovery.
 */
package loftflow.listener.http;
