/**
 * What an experiment plays: programs, partners, the fleet between them and what goes wrong, and the file that says so.
 * {@code Faults} decides from it which state everything is in at a time.
 *
 * <p>May use: {@code config.schema} and {@code config.file} for the file; {@code policy.api} for the module's settings.
 * No I/O,
 * clock or thread.
 */
package loftflow.experiment.scenario;
