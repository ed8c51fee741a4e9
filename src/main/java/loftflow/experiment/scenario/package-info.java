/**
 * What an experiment runs: clients, partners, the fleet of relays and the faults, with the file format that describes
 * them. {@code FaultSchedule} derives from a scenario the condition of every endpoint at any time.
 *
 * <p>May use: {@code config.schema} and {@code config.file} for the file; {@code policy.api} for the module's settings.
 * No I/O, clock or thread.
 */
package loftflow.experiment.scenario;
