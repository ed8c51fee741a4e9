/**
 * Reads files of traces: CSV, plain or gzip, several in order, in constant memory.
 *
 * <p>May use: {@code trace}, the CSV library.
 */
package loftflow.trace.read;
