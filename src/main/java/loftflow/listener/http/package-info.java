/**
 * Clients over HTTP/1.1: listens, reads requests within bounds, hands messages in through
 * {@link loftflow.engine.MessageAcceptor} and answers.
 *
 * <p>May use: the engine, {@code listener.connection}, {@code listener.request}, {@code http} and Netty; nothing of
 * partners, journal or
 * platform.
 */
package loftflow.listener.http;
