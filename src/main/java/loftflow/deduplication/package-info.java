/**
 * The message ids that were accepted, for listeners whose clients submit the same message again: which ids are known is
 * decided in {@code DeduplicationWindow}, free of files and clocks; {@code DeduplicationFile} stores them, so that they
 * outlast the process.
 *
 * <p>May use: {@code recordfile} and the log.
 */
package loftflow.deduplication;
