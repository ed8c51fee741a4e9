/**
 * Calls to hosts over HTTP/1.1, behind {@link loftflow.engine.UpstreamClient}: connection pools, calls and the table of
 * outcomes. Nothing is retried here.
 *
 * <p>Start with {@link loftflow.upstream.http.HttpUpstreamClient}. {@code HostProtocol} holds the protocol's names,
 * {@code OutcomeTable} says which response means which outcome.
 *
 * <p>May use: the engine, what the HTTP/1.1 sides share, the log, Netty and Jackson; not the listeners, the journal or
 * discovery.
 */
package loftflow.upstream.http;
