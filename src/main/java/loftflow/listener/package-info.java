/**
 * The interface of every inbound endpoint, whichever protocol its clients speak.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.listener;
