/**
 * The wire of AMQP 0-9-1: frames, methods, properties of content and field tables, incremental and bounded. Free of
 * sockets; nothing here knows what a method is for.
 *
 * <p>May use: Netty's buffers alone.
 */
package loftflow.amqp.codec;
