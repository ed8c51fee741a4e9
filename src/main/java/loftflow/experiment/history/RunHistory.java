package loftflow.experiment.history;

import java.util.ArrayList;
import java.util.List;

/** Everything that happened in one run. */
public final class RunHistory {
    /** A wait that an endpoint told a relay with a refusal; it binds from when the relay heard of it. */
    public record Wait(int relay, int endpoint, long heard, long until) {}

    /** A relay heard that an endpoint drains or is gone. */
    public record DrainTold(int relay, int endpoint, long at) {}

    /**
     * An endpoint fell over while it was cold, by what relays sent that had seen it fail (BRIEF, rule 4), or by others.
     */
    public record Fall(int endpoint, long at, double load, double able, double knowing) {}

    /** A relay did not run. */
    public record Away(int relay, long from, long to) {}

    /** What an endpoint got, and could do, in a span of time. */
    public record Load(int endpoint, long from, int calls, double able) {}

    private final List<MessageHistory> asks = new ArrayList<>();
    private final List<Wait> waits = new ArrayList<>();
    private final List<DrainTold> drains = new ArrayList<>();
    private final List<Fall> falls = new ArrayList<>();
    private final List<Away> aways = new ArrayList<>();
    private final List<Load> loads = new ArrayList<>();
    private final CallCounts costs = new CallCounts();

    public void asked(MessageHistory ask) {
        asks.add(ask);
    }

    public void waited(Wait wait) {
        waits.add(wait);
    }

    public void drained(DrainTold drain) {
        drains.add(drain);
    }

    public void fell(Fall fall) {
        falls.add(fall);
    }

    public void away(Away away) {
        aways.add(away);
    }

    public void loaded(Load load) {
        loads.add(load);
    }

    /** What the run cost, to be counted on. */
    public CallCounts costs() {
        return costs;
    }

    public List<MessageHistory> asks() {
        return asks;
    }

    public List<Wait> waits() {
        return waits;
    }

    public List<DrainTold> drains() {
        return drains;
    }

    public List<Fall> falls() {
        return falls;
    }

    public List<Away> aways() {
        return aways;
    }

    public List<Load> loads() {
        return loads;
    }
}
