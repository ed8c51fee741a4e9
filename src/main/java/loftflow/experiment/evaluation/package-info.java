/**
 * What a history is worth: service as the users define it, latency, each partner's load, and the rules, judged from
 * what
 * partners recorded and what clients were told.
 *
 * <p>May use: {@code experiment.scenario}, {@code experiment.history}, {@code policy.api}. No I/O, clock or thread.
 */
package loftflow.experiment.evaluation;
