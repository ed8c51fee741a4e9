package loftflow.policy.api;

/**
 * A message from another relay of the fleet arrived.
 *
 * @param sender index of the sending relay
 * @param payload as passed to {@link PolicyActions#sendToPeer}
 */
public record PeerMessage(int sender, byte[] payload) implements PolicyEvent {}
