/**
 * What was declared, what is derived from it, and what contradicts what.
 *
 * <p>May use: {@code config.schema} and {@code config.file}. No I/O: what it asks of the machine goes through
 * {@link loftflow.config.plan.MachineInspector}.
 */
package loftflow.config.plan;
