/**
 * Deduplication of messages that clients submit more than once. {@code DeduplicationWindow} decides which accepted ids
 * are retained and uses no files or clocks; {@code DeduplicationFile} stores them, so that they outlast the process.
 *
 * <p>May use: {@code recordfile} and the log.
 */
package loftflow.deduplication;
