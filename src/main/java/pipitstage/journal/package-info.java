/**
 * What outlasts the process: the write-ahead journal of accepted work.
 *
 * <p>May use: the engine, {@code records} and the log; files, but no network.
 */
package pipitstage.journal;
