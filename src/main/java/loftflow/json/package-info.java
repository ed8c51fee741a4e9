/**
 * Typed access to JSON input from outside the relay, with errors that name the malformed member and the fault.
 *
 * <p>May use: Jackson; nothing of the relay.
 */
package loftflow.json;
