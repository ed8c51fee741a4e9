/**
 * Typed access to JSON from outside the program, with errors that say which member is wrong and why.
 *
 * <p>May use: Jackson; nothing of the relay.
 */
package loftflow.json;
