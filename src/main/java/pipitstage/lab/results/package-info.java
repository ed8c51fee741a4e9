/**
 * The folder that an experiment's results are kept in, over kills and restarts, and the pages made of them.
 *
 * <p>May use: {@code records}, {@code lab.service}, {@code lab.history}, {@code lab.scenario}, Jackson. No thread.
 */
package pipitstage.lab.results;
