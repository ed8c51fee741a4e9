/**
 * Connections of AMQP 0-9-1 on Netty's channels, of both roles: the opening, what was agreed on, heartbeats, channels
 * and orderly ends. Nothing here comes back by itself.
 *
 * <p>May use: {@code amqp.codec} and Netty.
 */
package loftflow.amqp.link;
