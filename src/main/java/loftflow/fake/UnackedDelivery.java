package loftflow.fake;

/** A delivered message that has not been acknowledged. */
record UnackedDelivery(BrokerQueue queue, StoredMessage message) {}
