package loftflow.policy.api;

/**
 * A message from another relay of the fleet arrived.
 *
 * @param sender the index of the relay
 * @param payload as given to {@link PolicyActions#sendToPeer}
 */
public record PeerMessage(int sender, byte[] payload) implements PolicyEvent {}
