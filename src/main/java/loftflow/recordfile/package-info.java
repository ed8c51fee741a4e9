/**
 * Files of records with length and checksum, which survive the process.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.recordfile;
