package loftflow.experiment.history;

import java.util.ArrayList;
import java.util.List;

/** Everything that happened in one run, in the order in which it was recorded. Not thread-safe. */
public final class RunHistory {
    /** A {@code Retry-After} that an endpoint sent with a rejection; it binds the relay from its receipt on. */
    public record RetryAfter(int relay, int endpoint, long receivedAtMicros, long untilMicros) {}

    /** The notification of a relay that an endpoint is draining or removed. */
    public record DrainNotice(int relay, int endpoint, long receivedAtMicros) {}

    /**
     * The collapse of a recovering endpoint under too many calls (BRIEF, rule 4).
     *
     * @param callsInWindow calls received in the observed window
     * @param capacityPerSecond calls that it could process at that time
     * @param informedShare share of the calls from relays that had seen the outage
     */
    public record EndpointCollapse(
            int endpoint, long atMicros, double callsInWindow, double capacityPerSecond, double informedShare) {}

    /** An interval in which a relay was not running. */
    public record RelayDowntime(int relay, long fromMicros, long untilMicros) {}

    /** The calls that an endpoint received in one second, with its capacity at that time. */
    public record EndpointLoad(int endpoint, long fromMicros, int calls, double capacityPerSecond) {}

    private final List<MessageHistory> messages = new ArrayList<>();
    private final List<RetryAfter> retryAfters = new ArrayList<>();
    private final List<DrainNotice> drainNotices = new ArrayList<>();
    private final List<EndpointCollapse> collapses = new ArrayList<>();
    private final List<RelayDowntime> downtimes = new ArrayList<>();
    private final List<EndpointLoad> endpointLoads = new ArrayList<>();
    private final CallCounts callCounts = new CallCounts();

    /** Adds a message; its position in {@link #messages} is its number. */
    public void addMessage(MessageHistory message) {
        messages.add(message);
    }

    /** Adds a {@code Retry-After} that a relay has received. */
    public void addRetryAfter(RetryAfter retryAfter) {
        retryAfters.add(retryAfter);
    }

    /** Adds a drain notice that a relay has received. */
    public void addDrainNotice(DrainNotice notice) {
        drainNotices.add(notice);
    }

    /** Adds the collapse of an endpoint. */
    public void addCollapse(EndpointCollapse collapse) {
        collapses.add(collapse);
    }

    /** Adds an interval in which a relay was down. */
    public void addDowntime(RelayDowntime downtime) {
        downtimes.add(downtime);
    }

    /** Adds the load of an endpoint in one second. */
    public void addEndpointLoad(EndpointLoad load) {
        endpointLoads.add(load);
    }

    /** The run's counters, which callers increment. */
    public CallCounts callCounts() {
        return callCounts;
    }

    public List<MessageHistory> messages() {
        return messages;
    }

    public List<RetryAfter> retryAfters() {
        return retryAfters;
    }

    public List<DrainNotice> drainNotices() {
        return drainNotices;
    }

    public List<EndpointCollapse> collapses() {
        return collapses;
    }

    public List<RelayDowntime> downtimes() {
        return downtimes;
    }

    public List<EndpointLoad> endpointLoads() {
        return endpointLoads;
    }
}
