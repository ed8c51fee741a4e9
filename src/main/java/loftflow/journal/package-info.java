/**
 * The write-ahead log of accepted messages, in segment files that survive the process. {@code JournalRecordCodec}
 * encodes and decodes records; {@code JournalFolder} and {@code JournalSegment} manage the files; {@code Journal}
 * tracks the open messages, limits the disk space, replays and compacts.
 *
 * <p>May use: the engine, the policy's types, {@code recordfile} and the log; files, but no network.
 */
package loftflow.journal;
