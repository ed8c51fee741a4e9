package loftflow.policy;

/**
 * Decides whether this relay may send to a group that its peers share. If relays may exchange messages, a congested or
 * failing group requires permits: each relay reports its observations to the group's coordinator, which all relays
 * derive from the group's id, and sends once it holds a permit. A lost message or a failed coordinator delays the relay
 * by {@link #PERMIT_TIMEOUT_MICROS}; after that, it falls back to its own rate limit. Relays that use sockets exchange
 * no messages, so permits take effect only in the simulator. Times are in microseconds.
 */
final class SendPermits {
    /** Time for which a congestion notice makes every relay require permits. */
    static final long PERMITS_REQUIRED_MICROS = 10_000_000;

    /** Time after which a requested permit is considered lost. */
    private static final long PERMIT_TIMEOUT_MICROS = 8_000_000;

    private static final long PERMIT_VALIDITY_MICROS = RoundContext.MICROS_PER_SECOND;

    private final RoundContext context;
    private final PeerChannel peers;

    SendPermits(RoundContext context, PeerChannel peers) {
        this.context = context;
        this.peers = peers;
    }

    /** Returns whether no permit is required, this relay holds one, or the permit that it requested has timed out. */
    boolean maySend(LimitGroup group) {
        long now = context.now();
        return now >= group.permitsRequiredUntilMicros
                || now < group.permitValidUntilMicros
                || group.permitRequested && !isPermitPending(group);
    }

    private boolean isPermitPending(LimitGroup group) {
        return group.permitRequested && context.now() < group.permitRequestedAtMicros + PERMIT_TIMEOUT_MICROS;
    }

    /** Returns when permits cease to prevent sending if no message arrives in the meantime. */
    long unrestrictedAtMicros(LimitGroup group) {
        return Math.min(
                group.permitsRequiredUntilMicros,
                group.permitRequested ? group.permitRequestedAtMicros + PERMIT_TIMEOUT_MICROS : Long.MAX_VALUE);
    }

    /**
     * Reports an observation to the group's coordinator. Every observation except a served call also requests a permit.
     */
    void report(LimitGroup group, PeerMessageType observation) {
        if (!context.settings().limits().peerMessages()) {
            return;
        }
        if (observation != PeerMessageType.SERVED) {
            group.permitRequested = true;
            group.permitRequestedAtMicros = context.now();
        }
        int coordinator = Math.floorMod(group.id, context.settings().fleetSize());
        peers.send(coordinator, observation, group.id);
    }

    /** Requests permits for the routes of a destination with waiting messages, if they are required. */
    void requestIfRequired(Destination destination) {
        long now = context.now();
        for (Route route : destination.routes.values()) {
            LimitGroup group = route.group;
            if (route.listed
                    && now < group.permitsRequiredUntilMicros
                    && !isPermitPending(group)
                    && now >= group.permitValidUntilMicros) {
                report(group, PeerMessageType.PERMIT_REQUEST);
            }
        }
    }

    /**
     * Handles a permit: messages may be sent and open circuits probed at once. The outcome of a probe permit's call is
     * reported.
     */
    void onPermit(LimitGroup group, boolean forProbe) {
        long now = context.now();
        group.permitRequested = false;
        group.reportsNextOutcome = forProbe;
        group.nextSendAtMicros = now;
        group.permitValidUntilMicros = now + PERMIT_VALIDITY_MICROS;
        group.circuit.probeNotBeforeMicros = now;
        group.routes.forEach(route -> route.circuit.probeNotBeforeMicros = now);
    }

    /** Handles a congestion notice of the coordinator. */
    void onCongestionNotice(LimitGroup group) {
        group.permitsRequiredUntilMicros = context.now() + PERMITS_REQUIRED_MICROS;
    }

    /** Uses up the permit for a call. */
    void onSent(LimitGroup group) {
        group.permitValidUntilMicros = context.now();
    }
}
