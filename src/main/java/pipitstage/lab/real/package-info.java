/**
 * The second driver: whole relays as processes on loopback, with partners on sockets that answer as the emulator's do and an open
 * loop of programs before them. It writes the same history as the emulator.
 *
 * <p>May use: {@code lab.scenario}, {@code lab.history}, {@code lab.model}, {@code lab.service}, {@code config.tool}, {@code config.file},
 * {@code standin}, {@code http}, {@code pipitstage}, Netty, Jackson.
 */
package pipitstage.lab.real;
