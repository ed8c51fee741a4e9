/**
 * What a relay is told at its start, checked where it enters.
 *
 * <p>May use: the decision module, {@code Target} and the reading of lists; files, but no network.
 */
package loftflow.config;
