/**
 * The operators' log on standard error.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.log;
