/**
 * The folder that an experiment's results are kept in, over kills and restarts, and the pages made of them.
 *
 * <p>May use: {@code recordfile}, {@code experiment.evaluation}, {@code experiment.history},
 * {@code experiment.scenario}, Jackson. No thread.
 */
package loftflow.experiment.results;
