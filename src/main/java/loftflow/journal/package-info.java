/**
 * The write-ahead log of accepted messages, in segment files that outlast the process: the stored form of records in
 * {@code JournalRecordCodec}, files and their replacement in {@code JournalFolder} and {@code JournalSegment}, and what
 * is open, admission by space, replay and compaction in {@code Journal}.
 *
 * <p>May use: the engine, the policy's types, {@code recordfile} and the log; files, but no network.
 */
package loftflow.journal;
