package loftflow.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Routes that share one rate limit: a single route if routes are independent, otherwise all routes of a destination.
 */
final class LimitGroup {
    /** Identical at every relay of a fleet, so that peers can refer to the group. */
    final int id;

    final Circuit circuit = new Circuit();
    final List<Route> routes = new ArrayList<>();
    final DecayingCounter servedCalls = new DecayingCounter();
    final DecayingCounter sentCalls = new DecayingCounter();

    // Send rate limit, see SendRateLimiter.
    double sendRatePerSecond = Double.POSITIVE_INFINITY;
    /** True after the first rate cut if no limit is known: the true limit may be far above or below the rate. */
    boolean probingForCapacity;

    long nextSendAtMicros;
    /** Nothing is sent before this time, according to a Retry-After of the destination. */
    long retryNotBeforeMicros;

    long lastCutAtMicros = Long.MIN_VALUE / 2;
    long lastGrowthAtMicros;
    int consecutiveRejections;
    long rejectedSinceMicros;
    /** Limit for all relays together as reported by the destination; 0 if not reported. */
    double reportedLimitPerSecond;

    // Recovery, see RecoveryRamp.
    /**
     * This relay's calls per second before the latest outage; 0 before the first outage, and after a restart if a limit
     * is known.
     */
    double usualRatePerSecond;

    long recoveredAtMicros = Long.MIN_VALUE / 2;

    // Concurrency, see ConcurrencyLimiter.
    int callsInFlight;

    // Permits shared with peers, see SendPermits and SendPermitCoordinator.
    boolean permitRequested;
    /** True if the next outcome is reported to the coordinator, because it belongs to a probe that it permitted. */
    boolean reportsNextOutcome;

    long permitRequestedAtMicros;
    long permitValidUntilMicros;
    long permitsRequiredUntilMicros;
    final PermitLedger permitLedger = new PermitLedger();

    LimitGroup(int id) {
        this.id = id;
    }
}
