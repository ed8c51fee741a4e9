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
    /** Tags that have taken effect and are not confirmed, with what is to become of them. */
    final TreeMap<Long, FakeBroker.Fate> unconfirmed = new TreeMap<>();

    final TreeMap<Long, UnackedDelivery> unacked = new TreeMap<>();
    final List<BrokerConsumer> consumers = new ArrayList<>();

    BrokerChannel(int number) {
        this.number = number;
    }
}
