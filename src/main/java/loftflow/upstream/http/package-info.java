/**
 * Calls to hosts over HTTP/1.1, behind {@link loftflow.engine.UpstreamClient}: connection pools, calls and the table of
 * outcomes. Nothing is retried here.
 *
 * <p>Start with {@link loftflow.upstream.http.HttpUpstreamClient}. {@code protocol.HostProtocol} holds the protocol's
 * names, {@code OutcomeTable} says which response means which outcome.
 *
 * <p>May use: the engine, the policy's types, {@code protocol}, {@code json}, {@code http}, the log, Netty and Jackson;
 * not the listeners, the journal or discovery.
 */
package loftflow.upstream.http;
