/**
 * Dead letters: messages that could not be delivered. What is known of their attempts, whether and when they may be
 * sent again, and which operator confirmed what. Free of I/O, clocks and threads: storage is behind
 * {@link loftflow.deadletter.DeadLetterStore}.
 *
 * <p>May use: the engine, the policy's types and the log.
 */
package loftflow.deadletter;
