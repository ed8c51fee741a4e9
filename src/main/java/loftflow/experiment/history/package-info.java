/**
 * The record of one run as clients and endpoints observed it: messages submitted, calls made, effects, completions,
 * and faults. The emulator and the loopback driver both write it; service figures and rule checks read nothing else.
 *
 * <p>May use: nothing of ours. No I/O, clock or thread.
 */
package loftflow.experiment.history;
