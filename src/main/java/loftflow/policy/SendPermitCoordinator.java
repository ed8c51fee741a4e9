package loftflow.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Coordinates the sending of relays that share a group's limit. The coordinator of a group (one relay of the fleet,
 * derived from the group's id) collects the observations of all relays and issues permits one at a time: probe permits
 * while the group fails, otherwise as many per second as the group takes, corrected by the reported rejections. Times
 * are in microseconds.
 */
final class SendPermitCoordinator {
    /**
     * Factor on the permit rate after a rejection; close to 1, because the coordinator receives the rejections of all
     * relays.
     */
    private static final double RATE_FACTOR_AFTER_REJECTION = 0.8;

    /** Factor by which a rough listed rate may be too low. */
    private static final double MAX_RATE_FACTOR = 2;

    /** Permits that were due this long ago but not issued, because no round ran, lapse. */
    private static final long MAX_CATCH_UP_MICROS = RoundContext.MICROS_PER_SECOND / 2;

    /** Time before the expiry of a congestion notice at which it may be repeated. */
    private static final long NOTICE_OVERLAP_MICROS = RoundContext.MICROS_PER_SECOND;

    private final RoundContext context;
    private final PeerChannel peers;
    private final KnownLimits limits;
    private final RecoveryRamp ramp;
    private final SendRateLimiter rateLimiter;
    private final SendPermits permits;
    /** Groups with relays that wait for a permit. */
    private final Set<LimitGroup> groupsWithRequests = new LinkedHashSet<>();

    SendPermitCoordinator(
            RoundContext context,
            PeerChannel peers,
            KnownLimits limits,
            RecoveryRamp ramp,
            SendRateLimiter rateLimiter,
            SendPermits permits) {
        this.context = context;
        this.peers = peers;
        this.limits = limits;
        this.ramp = ramp;
        this.rateLimiter = rateLimiter;
        this.permits = permits;
    }

    /** Handles an observation of a group or a permit request, as reported by a relay. */
    void onReport(LimitGroup group, int relay, PeerMessageType observation) {
        PermitLedger ledger = group.permitLedger;
        if (observation == PeerMessageType.SERVED) {
            if (isFailing(ledger)) {
                ledger.recoveredAtMicros = context.now();
            }
            ledger.consecutiveFailures = 0;
            return;
        }
        if (observation == PeerMessageType.FAILED) {
            ledger.consecutiveFailures++;
        }
        if (observation == PeerMessageType.REJECTED
                && context.now() - ledger.lastCutAtMicros >= SendRateLimiter.MIN_CUT_INTERVAL_MICROS) {
            ledger.rateFactor *= RATE_FACTOR_AFTER_REJECTION;
            ledger.lastCutAtMicros = context.now();
        }
        ledger.requesters.add(relay);
        groupsWithRequests.add(group);
        boolean congested = observation != PeerMessageType.PERMIT_REQUEST || ledger.requesters.size() > 1;
        if (congested && isNoticeDue(ledger)) {
            ledger.congestionNoticeSentAtMicros = context.now();
            permits.onCongestionNotice(group);
            peers.broadcast(PeerMessageType.CONGESTION_NOTICE, group.id);
        }
    }

    private boolean isNoticeDue(PermitLedger ledger) {
        return context.now() - ledger.congestionNoticeSentAtMicros
                > SendPermits.PERMITS_REQUIRED_MICROS - NOTICE_OVERLAP_MICROS;
    }

    private static boolean isFailing(PermitLedger ledger) {
        return ledger.consecutiveFailures >= CircuitBreaker.FAILURES_TO_OPEN;
    }

    /** Issues the permits that are due, in the order of the requests. */
    void issuePermits() {
        groupsWithRequests.forEach(this::issuePermits);
        groupsWithRequests.removeIf(group -> group.permitLedger.requesters.isEmpty());
    }

    private void issuePermits(LimitGroup group) {
        PermitLedger ledger = group.permitLedger;
        while (!ledger.requesters.isEmpty() && context.now() >= ledger.nextPermitAtMicros) {
            int relay = ledger.requesters.iterator().next();
            ledger.requesters.remove(relay);
            boolean failing = isFailing(ledger);
            long earliest = Math.max(ledger.nextPermitAtMicros, context.now() - MAX_CATCH_UP_MICROS);
            long interval = failing
                    ? CircuitBreaker.FLEET_PROBE_INTERVAL_MICROS
                    : RoundContext.intervalMicros(permitRatePerSecond(group));
            ledger.nextPermitAtMicros = earliest + interval;
            peers.send(relay, failing ? PeerMessageType.PROBE_PERMIT : PeerMessageType.PERMIT, group.id);
        }
    }

    private double permitRatePerSecond(LimitGroup group) {
        PermitLedger ledger = group.permitLedger;
        double known = limits.limitPerSecond(group);
        double limit = known == 0 ? SendRateLimiter.ASSUMED_FLEET_LIMIT_PER_SECOND : known;
        double grown = ledger.rateFactor * rateLimiter.growthSince(ledger.lastGrowthAtMicros);
        ledger.rateFactor = Math.min(MAX_RATE_FACTOR, grown);
        ledger.lastGrowthAtMicros = context.now();
        boolean warm = context.now() - ledger.recoveredAtMicros
                >= context.settings().rules().warmUpMicros();
        return limit
                * (warm
                        ? ledger.rateFactor
                        : Math.min(ledger.rateFactor, ramp.sustainableShare(ledger.recoveredAtMicros)));
    }

    /** Returns when the next permit is due, or {@code defaultMicros} if none is requested. */
    long nextPermitAtMicros(long defaultMicros) {
        return groupsWithRequests.stream()
                .mapToLong(group -> group.permitLedger.nextPermitAtMicros)
                .min()
                .orElse(defaultMicros);
    }
}
