package loftflow.fake;

import java.util.List;

/** An exchange and its bindings, in the order of their creation. */
record BrokerExchange(String type, List<BrokerBinding> bindings) {}
