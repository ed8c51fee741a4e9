package loftflow.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A queue of the fake broker. */
final class BrokerQueue {
    final String name;
    final ArrayDeque<StoredMessage> ready = new ArrayDeque<>();
    final List<BrokerConsumer> consumers = new ArrayList<>();
    int acked;

    BrokerQueue(String name) {
        this.name = name;
    }
}
