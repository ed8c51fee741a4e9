/**
 * AMQP 0-9-1 connections over Netty, of both the client and the server role: handshake, negotiated limits, heartbeats,
 * channels and graceful close. A closed connection is not reopened here.
 *
 * <p>May use: {@code amqp.codec} and Netty.
 */
package loftflow.amqp.link;
