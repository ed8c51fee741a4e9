/**
 * What every front is to the relay, whatever its clients speak.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.listener;
