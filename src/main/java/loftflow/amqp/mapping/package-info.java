/**
 * Maps AMQP messages to messages of the relay by configured rules. The package performs no I/O and reads no clock.
 *
 * <p>May use: the module's types, the engine's {@code Message}, and {@code amqp.codec}.
 */
package loftflow.amqp.mapping;
