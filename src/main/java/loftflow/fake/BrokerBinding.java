package loftflow.fake;

/** A queue bound to an exchange. */
record BrokerBinding(String key, String queue) {}
