/**
 * Reports how messages ended other than by delivery, to the platform or, where there is none, to a file, until each
 * report is acknowledged.
 *
 * <p>May use: the engine, {@code discovery}'s connection to the platform's agent, {@code protocol}, {@code recordfile},
 * the log, Netty and Jackson.
 */
package loftflow.completion;
