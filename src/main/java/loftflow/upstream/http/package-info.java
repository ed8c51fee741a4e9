/**
 * Partners over HTTP/1.1: pools of connections, calls and the table of outcomes, behind
 * {@link loftflow.engine.UpstreamClient}. Resends nothing.
 *
 * <p>May use: the engine, what speakers of HTTP/1.1 share, the log, Netty and Jackson; nothing of fronts, journal or
 * platform.
 */
package loftflow.upstream.http;
