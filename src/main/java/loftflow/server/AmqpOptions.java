package loftflow.server;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.util.List;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.amqp.link.AmqpServerConnection;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.amqp.mapping.ValueSource;
import loftflow.config.Config;
import loftflow.listener.amqp.AmqpListener;
import loftflow.listener.amqp.QueueConsumer;
import loftflow.policy.api.RequestClass;
import loftflow.upstream.amqp.BrokerDestination;

/** Converts the AMQP section of the configuration to the options of the AMQP classes. */
final class AmqpOptions {
    /** The product name in the server properties that AMQP clients receive. */
    private static final String PRODUCT = "loftflow";

    /** Applies if the configuration has no mapping. */
    private static final Config.MappingRule DEFAULT_MAPPING = new Config.MappingRule(
            null,
            "property:message-id",
            "property:type",
            null,
            "header:Idempotency-Key",
            "routing-key",
            "property:expiration");

    private AmqpOptions() {}

    static MessageMapping mapping(Config.Amqp amqp, List<RequestClass> requestClasses) {
        List<Config.MappingRule> rules = amqp.mappings().isEmpty() ? List.of(DEFAULT_MAPPING) : amqp.mappings();
        return new MessageMapping(rules.stream().map(AmqpOptions::rule).toList(), requestClasses);
    }

    private static MessageMapping.Rule rule(Config.MappingRule rule) {
        return new MessageMapping.Rule(
                rule.contentType(),
                ValueSource.of(rule.messageId()),
                ValueSource.of(rule.requestClass()),
                sourceOrNull(rule.tenant()),
                sourceOrNull(rule.key()),
                ValueSource.of(rule.destination()),
                sourceOrNull(rule.timeBudget()));
    }

    private static ValueSource sourceOrNull(String text) {
        return text == null ? null : ValueSource.of(text);
    }

    static AmqpListener.Options listener(Config.AmqpListenerOptions listener, int maxConnections) {
        return new AmqpListener.Options(
                listener.name(),
                listener.exchange(),
                listener.user(),
                listener.password(),
                maxConnections,
                new AmqpServerConnection.Limits(
                        PRODUCT, listener.maxChannels(), listener.maxFrameBytes(), listener.heartbeatSeconds()),
                listener.replyHoldMicros());
    }

    /** @throws IOException if the file of trusted certificates can't be read */
    static QueueConsumer.Options consumer(Config.AmqpConsumerOptions queue, long connectTimeoutMicros)
            throws IOException {
        Config.Login login = queue.login();
        return new QueueConsumer.Options(
                queue.name(),
                new AmqpClientConnection.Broker(
                        queue.address(), login(login), tlsContext(login), login.tlsServerName()),
                queue.queue(),
                queue.prefetch(),
                queue.autoAcknowledge(),
                QueueConsumer.ReplyMode.ofSetting(queue.completionReplies()),
                queue.replyQueue(),
                connectTimeoutMicros);
    }

    /** @throws IOException if the file of trusted certificates can't be read */
    static BrokerDestination destination(Config.BrokerRoute route) throws IOException {
        Config.Login login = route.login();
        return new BrokerDestination(
                login(login), route.exchange(), route.routingKey(), tlsContext(login), login.tlsServerName());
    }

    private static AmqpClientConnection.Login login(Config.Login login) {
        return new AmqpClientConnection.Login(
                login.user(), login.password(), login.virtualHost(), login.heartbeatSeconds());
    }

    /** Returns the TLS context of a connection; null if it does not use TLS. */
    private static SslContext tlsContext(Config.Login login) throws IOException {
        if (!login.tls()) {
            return null;
        }
        SslContextBuilder builder = SslContextBuilder.forClient().sslProvider(SslProvider.JDK);
        if (login.trustedCertificates() != null) {
            try {
                builder.trustManager(login.trustedCertificates().toFile());
            } catch (IllegalArgumentException e) {
                throw new IOException(
                        login.trustedCertificates() + " contains no valid certificates: " + e.getMessage(), e);
            }
        }
        return builder.build();
    }
}
