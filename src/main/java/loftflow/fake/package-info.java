/**
 * Fakes of the relay's peers on loopback ports: clients, endpoints, brokers and discovery, for tests, the demonstration
 * and load runs. They are not used by a serving relay.
 *
 * <p>May use: nothing of the relay but names of headers and, for the broker, {@code amqp.codec} and {@code amqp.link}.
 */
package loftflow.fake;
