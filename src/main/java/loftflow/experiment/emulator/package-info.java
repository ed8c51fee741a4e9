/**
 * A discrete-event emulator in virtual time: the real decision module in the real engine for every relay of a fleet,
 * between emulated clients and emulated endpoints. One thread; the same seed gives the same history to the byte.
 *
 * <p>May use: {@code policy.api}, {@code engine}, {@code experiment.scenario}, {@code experiment.history}.
 */
package loftflow.experiment.emulator;
