/**
 * Files of records that outlast the process: how a record is framed, read back and written whole.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.recordfile;
