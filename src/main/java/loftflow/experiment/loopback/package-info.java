/**
 * The loopback driver: relays as processes of their own, endpoints on sockets that respond as the emulated ones do, and
 * an open-loop load generator. It writes the same history as the emulator.
 *
 * <p>May use: {@code experiment.scenario}, {@code experiment.history}, {@code experiment.emulator},
 * {@code experiment.evaluation}, {@code config.tool}, {@code config.file},
 * {@code fake}, {@code protocol}, {@code policy.api}, Netty, Jackson.
 */
package loftflow.experiment.loopback;
