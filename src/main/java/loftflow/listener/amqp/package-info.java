/**
 * Inbound messages over AMQP 0-9-1: {@link loftflow.listener.amqp.AmqpListener}, to which programs publish, and
 * {@link loftflow.listener.amqp.QueueConsumer}, which consumes a queue of a broker. Both reply with the completion of a
 * message where its client requested that.
 *
 * <p>May use: {@code listener}, the engine, {@code amqp}, {@code deduplication}, {@code protocol}, the log, Jackson and
 * Netty.
 */
package loftflow.listener.amqp;
