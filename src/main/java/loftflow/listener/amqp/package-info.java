/**
 * Ways in for messages that speak AMQP 0-9-1: a listener that programs publish to, and a consumer of a broker's queue.
 * Both tell the ends of messages where their clients asked for that.
 *
 * <p>May use: {@code listener}, the engine, {@code amqp}, {@code deduplication}, the log, Jackson and Netty.
 */
package loftflow.listener.amqp;
