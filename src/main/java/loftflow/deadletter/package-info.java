/**
 * Dead letters: undelivered messages with their attempts, redrive decisions and operators' confirmations. The package
 * performs no I/O, reads no system clock and starts no threads; storage is accessed through
 * {@link loftflow.deadletter.DeadLetterStore}.
 *
 * <p>May use: the engine, the policy's types and the log.
 */
package loftflow.deadletter;
