/**
 * The second driver: whole relays as processes on loopback, with partners on sockets that answer as the emulator's do
 * and an open
 * loop of programs before them. It writes the same history as the emulator.
 *
 * <p>May use: {@code experiment.scenario}, {@code experiment.history}, {@code experiment.emulator},
 * {@code experiment.evaluation}, {@code config.tool}, {@code config.file},
 * {@code fake}, {@code http}, {@code policy.api}, Netty, Jackson.
 */
package loftflow.experiment.loopback;
