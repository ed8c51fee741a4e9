/**
 * The memory of what was taken on, for fronts whose clients hand the same message in again: which ids are known is
 * decided in {@code SeenIds}, free of files and clocks; {@code SeenFile} lets it outlast the process.
 *
 * <p>May use: {@code recordfile} and the log.
 */
package loftflow.deduplication;
