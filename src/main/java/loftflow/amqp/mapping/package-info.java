/**
 * How an AMQP message becomes one of the relay's: decided here, free of sockets, clocks and files.
 *
 * <p>May use: the module's types, the engine's {@code Message}, and {@code amqp.codec}.
 */
package loftflow.amqp.mapping;
