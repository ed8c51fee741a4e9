/**
 * Stand-ins for what a relay meets: scripted peers on loopback ports, for tests, the demonstration and load.
 * They are no part of a serving relay.
 *
 * <p>May use: nothing of the relay but names of headers and, for the broker, {@code amqp.codec} and {@code amqp.link}.
 */
package loftflow.fake;
