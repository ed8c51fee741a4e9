/**
 * Reports completions other than delivery to the platform or, for a relay without a platform, to a file, until each
 * report is acknowledged.
 *
 * <p>May use: the engine, {@code discovery}'s connection to the platform's agent, {@code protocol}, {@code recordfile},
 * the log, Netty and Jackson.
 */
package loftflow.completion;
