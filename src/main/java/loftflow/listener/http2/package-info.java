/**
 * Clients over HTTP/2 without TLS (RFC 9113, by prior knowledge or {@code Upgrade: h2c}). A connection carries many
 * requests, and each stream ends exactly once.
 *
 * <p>Start with {@link loftflow.listener.http2.Http2Listener}, which creates a {@code ClientSession} for each
 * connection. Its concerns have a class each: {@code FrameListener} (received frames), {@code StreamTable} (open
 * streams), {@code SessionFlowControl} (receive windows) and {@code ConnectionTerminator} (GOAWAY and close). What a
 * connection may cost is decided in {@code listener.http2.flowcontrol}.
 *
 * <p>May use: the engine, {@code listener.connection}, {@code listener.request}, {@code http}, {@code protocol} and
 * Netty; not the upstream clients, the journal or discovery.
 */
package loftflow.listener.http2;
