package loftflow.policy.api;

/** A note came from another relay. */
public record PeerMessage(int sender, byte[] payload) implements PolicyEvent {}
