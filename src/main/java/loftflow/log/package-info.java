/**
 * The operators' log on standard error.
 *
 * <p>May use: nothing of the program.
 */
package loftflow.log;
