/**
 * The delivery engine: the message table, the rounds in which the delivery policy runs, and the ports to everything
 * else ({@link loftflow.engine.MessageAcceptor} for listeners, {@link loftflow.engine.UpstreamClient},
 * {@link loftflow.engine.WriteAheadLog}, {@link loftflow.engine.CompletionNotifier},
 * {@link loftflow.engine.DeadLetterSink}, {@link loftflow.engine.EndpointListListener},
 * {@link loftflow.engine.Timers}).
 *
 * <p>May use: the policy's types, {@code protocol}, {@code memory} and the log; no Netty, no files, no sockets,
 * no threads.
 */
package loftflow.engine;
