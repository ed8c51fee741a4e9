package loftflow.policy;

import java.util.ArrayList;
import java.util.List;

/** What shares one rate limit: a single route where routes are independent, else all routes of a destination. */
final class LimitGroup {
    /** The same at every relay of a fleet, so that peers can name the group. */
    final int id;

    final Circuit circuit = new Circuit();
    final List<Route> routes = new ArrayList<>();
    final DecayingCounter servedCalls = new DecayingCounter();
    final DecayingCounter sentCalls = new DecayingCounter();

    // Send rate limit, see SendRateLimiter.
    double sendRatePerSecond = Double.POSITIVE_INFINITY;
    /** No limit is known and the rate was cut once: the true limit may be far above or below the rate. */
    boolean probingForCapacity;

    long nextSendAtMicros;
    /** Nothing is sent before this: a destination's Retry-After. */
    long retryNotBeforeMicros;

    long lastCutAtMicros = Long.MIN_VALUE / 2;
    long lastGrowthAtMicros;
    int consecutiveRejections;
    long rejectedSinceMicros;
    /** The limit for all relays together as the destination reported it; 0 where it has not. */
    double reportedLimitPerSecond;

    // Recovery, see RecoveryRamp.
    /**
     * This relay's calls a second before the latest outage; 0 before the first, and after a restart with a known limit.
     */
    double usualRatePerSecond;

    long recoveredAtMicros = Long.MIN_VALUE / 2;

    // Concurrency, see ConcurrencyLimiter.
    int callsInFlight;

    // Permits shared with peers, see SendPermits and SendPermitCoordinator.
    boolean permitRequested;
    /** The next outcome is reported to the coordinator, as it is that of a probe that it permitted. */
    boolean reportsNextOutcome;

    long permitRequestedAtMicros;
    long permitValidUntilMicros;
    long permitsRequiredUntilMicros;
    final PermitLedger permitLedger = new PermitLedger();

    LimitGroup(int id) {
        this.id = id;
    }
}
