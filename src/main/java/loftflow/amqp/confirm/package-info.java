/**
 * Derives the outcome of publishes from the confirms, returns and channel closes of a broker. The package performs no
 * I/O and reads no clock.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.amqp.confirm;
