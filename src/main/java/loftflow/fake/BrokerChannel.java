package loftflow.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** State of one channel of a connection to the fake broker. */
final class BrokerChannel {
    final int number;
    boolean confirmMode;
    long published;
    long delivered;
    int prefetch;
    /** Delivery tags of publishes that took effect and are not confirmed yet, with their scripted outcomes. */
    final TreeMap<Long, FakeBroker.PublishOutcome> unconfirmed = new TreeMap<>();

    final TreeMap<Long, UnackedDelivery> unacked = new TreeMap<>();
    final List<BrokerConsumer> consumers = new ArrayList<>();

    BrokerChannel(int number) {
        this.number = number;
    }
}
