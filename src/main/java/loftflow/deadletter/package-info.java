/**
 * Messages that could not be delivered: what is known of them, whether and when they may be sent again, and who said
 * so. Free of I/O, clocks and threads: what is kept goes through {@link loftflow.deadletter.DeadLetterStore}.
 *
 * <p>May use: the engine and the decision module's types.
 */
package loftflow.deadletter;
