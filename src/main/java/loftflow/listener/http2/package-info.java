/**
 * The HTTP/2 listener over cleartext TCP (RFC 9113, with prior knowledge or {@code Upgrade: h2c}).
 *
 * <p>The entry point is {@link loftflow.listener.http2.Http2Listener}, which creates a {@code ClientSession} for each
 * connection. The session delegates to {@code FrameListener} (received frames), {@code StreamTable} (open streams),
 * {@code SessionFlowControl} (receive windows) and {@code ConnectionTerminator} (GOAWAY and close). The limits on the
 * resources of a connection are in {@code listener.http2.flowcontrol}.
 *
 * <p>May use: the engine, {@code listener.connection}, {@code listener.request}, {@code http}, {@code protocol} and
 * Netty; not the upstream clients, the journal or discovery.
 */
package loftflow.listener.http2;
