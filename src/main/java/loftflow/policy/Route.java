package loftflow.policy;

import java.util.ArrayDeque;
import loftflow.policy.api.EndpointEntry;

/** One endpoint of a destination and the observations of this relay about it. */
final class Route {
    final String name;
    final String zone;
    final Destination destination;
    final LimitGroup group;
    final Circuit circuit;
    /** Maximum number of messages per call. */
    final int maxBatchSize;
    /** Score bonus of a near or cheap zone. */
    final double localityBonus;
    /** True while discovery lists it as accepting new work. */
    boolean listed;
    /** True if it is known only from a list from before a restart; a probe precedes any message. */
    boolean addressUnverified;
    /** True if it is unverified and used only if its destination has no other route. */
    boolean lastResort;

    double listedRatePerSecond;
    /** Exponentially weighted share of failed calls. */
    double errorRate;
    /** Exponentially weighted response time; 0 before the first answer. */
    double responseTimeMicros;
    /** Send time of the most recently sent call that was answered. */
    long answeredCallSentAtMicros;

    long lastAnswerAtMicros;
    /** Calls without an outcome, oldest first. */
    final ArrayDeque<Call> callsInFlight = new ArrayDeque<>();
    /** Health checks without an outcome, oldest first; they are not among the calls in flight. */
    final ArrayDeque<Call> healthChecksInFlight = new ArrayDeque<>();

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
