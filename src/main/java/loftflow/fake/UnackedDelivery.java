package loftflow.fake;

/** A message that was delivered and is not acknowledged. */
record UnackedDelivery(BrokerQueue queue, StoredMessage message) {}
