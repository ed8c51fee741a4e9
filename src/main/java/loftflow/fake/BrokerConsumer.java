package loftflow.fake;

/** A consumer of a queue on a channel. */
record BrokerConsumer(FakeBrokerSession session, BrokerChannel state, String tag, BrokerQueue queue, boolean noAck) {}
