/**
 * Evaluation of a run's history: service as the users define it, latency, cost for partners, and violations of the
 * delivery rules. Only what endpoints recorded and clients were notified of counts.
 *
 * <p>May use: {@code experiment.scenario}, {@code experiment.history}, {@code policy.api}. No I/O, clock or thread.
 */
package loftflow.experiment.evaluation;
