package loftflow.policy;

import java.util.ArrayDeque;
import loftflow.policy.api.EndpointEntry;

/** One endpoint of a destination and what this relay has observed of it. */
final class Route {
    final String name;
    final String zone;
    final Destination destination;
    final LimitGroup group;
    final Circuit circuit;
    /** The most messages that travel in one call. */
    final int maxBatchSize;
    /** Preference for a near or cheap zone, added to the score. */
    final double localityBonus;
    /** True while discovery lists it as taking new work. */
    boolean listed;
    /** Known only from a list of before a restart; a probe precedes any message. */
    boolean addressUnverified;
    /** Unverified, and tried only where its destination has nothing else. */
    boolean lastResort;

    double listedRatePerSecond;
    /** Exponentially weighted share of calls that failed. */
    double errorRate;
    /** Exponentially weighted response time; 0 before the first answer. */
    double responseTimeMicros;
    /** When the latest of the calls that were answered had been sent. */
    long answeredCallSentAtMicros;

    long lastAnswerAtMicros;
    /** Calls without an outcome, oldest first. */
    final ArrayDeque<Call> callsInFlight = new ArrayDeque<>();

    Route(
            EndpointEntry entry,
            Destination destination,
            LimitGroup group,
            Circuit circuit,
            int maxBatchSize,
            double localityBonus) {
        name = entry.route();
        zone = entry.zone();
        this.destination = destination;
        this.group = group;
        this.circuit = circuit;
        this.maxBatchSize = maxBatchSize;
        this.localityBonus = localityBonus;
    }
}
