/**
 * The adapter to the simulator: hosts one delivery policy for each simulated relay and translates the simulator's wire.
 *
 * <p>May use: {@code policy}, {@code policy.api}, {@code json}, {@code settings} and Jackson; no network.
 */
package loftflow.simulator;
