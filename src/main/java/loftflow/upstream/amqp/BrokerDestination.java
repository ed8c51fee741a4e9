package loftflow.upstream.amqp;

import io.netty.handler.ssl.SslContext;
import loftflow.amqp.link.AmqpClientConnection;

/**
 * How a route is reached through a broker.
 *
 * @param exchange where messages are published; empty for the broker's default exchange, which routes by queue name
 * @param tls null for a connection without TLS
 * @param tlsName the name that the broker's certificate must contain; null for its address
 */
public record BrokerDestination(
        AmqpClientConnection.Login login, String exchange, String routingKey, SslContext tls, String tlsName) {}
