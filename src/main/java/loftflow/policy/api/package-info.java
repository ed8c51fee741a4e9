/**
 * Interface of the delivery policy: its settings, the events it receives and the actions it may take. All types are
 * immutable values except {@link loftflow.policy.api.DeliveryPolicy} and {@link loftflow.policy.api.PolicyActions}.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.policy.api;
