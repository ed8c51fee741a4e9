package loftflow.fake;

/** The binding of a queue to an exchange by a binding key. */
record BrokerBinding(String key, String queue) {}
