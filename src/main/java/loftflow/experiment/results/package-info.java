/**
 * The results of an experiment: a folder of finished runs that survives crashes and restarts, and HTML reports.
 *
 * <p>May use: {@code recordfile}, {@code experiment.evaluation}, {@code experiment.history},
 * {@code experiment.scenario}, Jackson. No thread.
 */
package loftflow.experiment.results;
