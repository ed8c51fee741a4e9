/**
 * The heart of the relay: the table of messages, the rounds in which the decision module acts, and the ports
 * through which all else meets it ({@link loftflow.engine.MessageAcceptor} for fronts,
 * {@link loftflow.engine.UpstreamClient}
 * for what calls partners, {@link loftflow.engine.WriteAheadLog}, {@link loftflow.engine.CompletionNotifier},
 * {@link loftflow.engine.EndpointListListener}, {@link loftflow.engine.Timers}).
 *
 * <p>May use: the decision module and the log; no Netty, no files, no sockets, no threads.
 */
package loftflow.engine;
