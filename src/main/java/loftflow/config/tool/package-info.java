/**
 * The configuration tool: reads, checks and writes application files and relay files, checks a platform's, and runs a
 * relay by a relay file. Serving by the platform's configuration alone loads none of it.
 *
 * <p>May use: everything in {@code config}, the decision module's settings, and the engine's {@code Endpoint}.
 */
package loftflow.config.tool;
