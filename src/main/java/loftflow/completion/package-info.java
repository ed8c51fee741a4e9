/**
 * Completion notices: how messages ended is reported to the platform, or to a file where no platform listens, until it
 * is
 * acknowledged.
 *
 * <p>May use: the engine, {@code discovery}'s connection to the platform's agent, {@code recordfile}, the log, Netty
 * and Jackson.
 */
package loftflow.completion;
