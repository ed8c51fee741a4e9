/**
 * Assembles the components of a relay, starts them, shuts them down and handles signals.
 *
 * <p>May use: every other package; only the command line uses this one.
 */
package loftflow.server;
