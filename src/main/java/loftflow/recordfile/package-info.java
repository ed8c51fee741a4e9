/**
 * Framing of records, with length and checksum, in append-only files that outlast the process.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.recordfile;
