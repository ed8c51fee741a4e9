/**
 * The command line. {@link pipitstage.cli.Main} starts what serves without loading anything else.
 *
 * <p>May use: every other package; nothing uses this one.
 */
package pipitstage.cli;
