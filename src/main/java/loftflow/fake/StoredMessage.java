package loftflow.fake;

import loftflow.amqp.codec.Properties;

/** A message in a queue of the fake broker. */
final class StoredMessage {
    final String exchange;
    final String routingKey;
    final Properties properties;
    final byte[] body;
    boolean redelivered;

    StoredMessage(String exchange, String routingKey, Properties properties, byte[] body) {
        this.exchange = exchange;
        this.routingKey = routingKey;
        this.properties = properties;
        this.body = body;
    }
}
