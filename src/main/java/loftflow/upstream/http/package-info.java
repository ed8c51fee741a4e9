/**
 * An implementation of {@link loftflow.engine.UpstreamClient} over HTTP/1.1: connection pools, calls and the mapping of
 * responses to outcomes. It does not retry.
 *
 * <p>{@link loftflow.upstream.http.HttpUpstreamClient} is the entry point. {@code protocol.HostProtocol} defines the
 * names of the protocol, {@code OutcomeTable} the outcome of each response.
 *
 * <p>May use: the engine, the policy's types, {@code protocol}, {@code json}, {@code http}, {@code memory}, the log,
 * Netty and Jackson; not the listeners, the journal or discovery.
 */
package loftflow.upstream.http;
