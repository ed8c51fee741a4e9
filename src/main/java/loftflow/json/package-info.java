/**
 * Named access to JSON that came from outside, with errors that say which member is wrong and why.
 *
 * <p>May use: Jackson; nothing of the relay.
 */
package loftflow.json;
