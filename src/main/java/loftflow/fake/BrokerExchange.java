package loftflow.fake;

import java.util.List;

/** An exchange and its bindings, in the order in which they were made. */
record BrokerExchange(String type, List<BrokerBinding> bindings) {}
