/**
 * Partners that are reached through a broker of AMQP 0-9-1: what its confirms prove is decided in {@code amqp.confirm},
 * free
 * of sockets; whether, when and where to send again is the decision module's, so nothing here recovers by itself.
 *
 * <p>May use: the module's types, the engine's ports, {@code amqp}, the names of headers, the log, and Netty.
 */
package loftflow.upstream.amqp;
