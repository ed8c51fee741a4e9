/**
 * What happened in a run, as clients and partners saw it: what was asked, what was posted where, what took effect, what
 * ends
 * were told. Both drivers write it; service and rules are judged from it alone.
 *
 * <p>May use: nothing of ours. No I/O, clock or thread.
 */
package loftflow.experiment.history;
