/**
 * The statistics of experiments: a balanced order of runs, the comparison of two sides, the search for a capacity, and
 * the minimization of scenarios. Decisions only; callers run things and report the results.
 *
 * <p>May use: {@code experiment.scenario}. No I/O, clock or thread.
 */
package loftflow.experiment.design;
