/**
 * The interface that the listeners of all client protocols implement.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.listener;
