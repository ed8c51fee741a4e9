package loftflow.upstream.amqp;

import io.netty.handler.ssl.SslContext;
import loftflow.amqp.link.AmqpClientConnection;

/**
 * How a route is reached through a broker.
 *
 * @param exchange where messages are published; empty for the broker's own, which goes by the name of the queue
 * @param tls null where the connection is plain
 * @param tlsName the name that the broker's certificate has to hold; null for its address
 */
public record BrokerDestination(
        AmqpClientConnection.Login login, String exchange, String routingKey, SslContext tls, String tlsName) {}
