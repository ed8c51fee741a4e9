/**
 * What outlasts the process: the write-ahead journal of accepted work.
 *
 * <p>May use: the engine, {@code recordfile} and the log; files, but no network.
 */
package loftflow.journal;
