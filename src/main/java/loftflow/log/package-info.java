/**
 * One plain line on standard error for staff.
 *
 * <p>May use: nothing of the program.
 */
package loftflow.log;
