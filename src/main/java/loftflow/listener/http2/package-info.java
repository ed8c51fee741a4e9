/**
 * Clients over HTTP/2 without TLS (RFC 9113, prior knowledge or {@code Upgrade: h2c}): one connection, many requests,
 * each
 * stream exactly one end. What a connection may cost is decided in {@code limits}.
 *
 * <p>May use: the engine, {@code listener.connection}, {@code listener.request}, names of headers and Netty; nothing of
 * partners, journal or platform.
 */
package loftflow.listener.http2;
