/**
 * What to run next and what the runs say: a balanced order, a verdict on two sides, the search for a capacity, the
 * shrinking
 * of a scenario. Decisions alone: whoever runs things asks, runs, and tells.
 *
 * <p>May use: {@code experiment.scenario}. No I/O, clock or thread.
 */
package loftflow.experiment.design;
