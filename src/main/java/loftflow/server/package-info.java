/**
 * The program: puts the rooms together, starts and ends them, and takes signals.
 *
 * <p>May use: every other package; nothing uses this one.
 */
package loftflow.server;
