/**
 * The command line. {@link loftflow.cli.Main} starts what serves without loading anything else.
 *
 * <p>May use: every other package; nothing uses this one.
 */
package loftflow.cli;
