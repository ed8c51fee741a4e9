/**
 * Upstream endpoints that are reached through a broker of AMQP 0-9-1. What the broker's confirms prove is decided in
 * {@code amqp.confirm}, apart from I/O; whether, when and where to retry is the delivery policy's decision, so that
 * nothing here reconnects or resends by itself.
 *
 * <p>Start with {@link loftflow.upstream.amqp.BrokerClient}.
 *
 * <p>May use: the policy's types, the engine's ports, {@code amqp}, {@code protocol}, the log, and Netty.
 */
package loftflow.upstream.amqp;
