/**
 * What a broker's confirms, returns and ends prove of publishes: decided here, free of sockets, clocks and files.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.amqp.confirm;
