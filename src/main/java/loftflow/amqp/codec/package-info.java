/**
 * The AMQP 0-9-1 wire format: frames, methods, content properties and field tables. Decoding is incremental and bounded
 * in memory. The package performs no I/O and does not depend on the meaning of a method.
 *
 * <p>May use: Netty's buffers alone.
 */
package loftflow.amqp.codec;
