package loftflow.policy;

/**
 * May this relay send to a group that its peers share with it? Where relays may exchange messages, a group that is
 * congested or fails is put under permits: each relay reports what it observes to the group's coordinator, which all
 * relays derive from the group's id, and sends once it holds a permit. A lost message or a dead coordinator costs
 * {@link #PERMIT_TIMEOUT_MICROS}; after that the relay falls back to its own rate limit. Relays on sockets exchange no
 * messages, so permits take effect in the simulator alone. Times are microseconds.
 */
final class SendPermits {
    /** How long a congestion notice makes every relay require permits. */
    static final long PERMITS_REQUIRED_MICROS = 10_000_000;

    /** A permit that has not arrived after this long is treated as lost. */
    private static final long PERMIT_TIMEOUT_MICROS = 8_000_000;

    private static final long PERMIT_VALIDITY_MICROS = RoundContext.MICROS_PER_SECOND;

    private final RoundContext context;
    private final PeerChannel peers;

    SendPermits(RoundContext context, PeerChannel peers) {
        this.context = context;
        this.peers = peers;
    }

    /** True where no permit is required, this relay holds one, or the permit that it requested has timed out. */
    boolean maySend(LimitGroup group) {
        long now = context.now();
        return now >= group.permitsRequiredUntilMicros
                || now < group.permitValidUntilMicros
                || group.permitRequested && !isAwaited(group);
    }

    private boolean isAwaited(LimitGroup group) {
        return group.permitRequested && context.now() < group.permitRequestedAtMicros + PERMIT_TIMEOUT_MICROS;
    }

    /** When permits no longer stand in the way of sending, if no message arrives meanwhile. */
    long unrestrictedAtMicros(LimitGroup group) {
        return Math.min(
                group.permitsRequiredUntilMicros,
                group.permitRequested ? group.permitRequestedAtMicros + PERMIT_TIMEOUT_MICROS : Long.MAX_VALUE);
    }

    /** Reports an observation to the group's coordinator; anything but a served call requests a permit too. */
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

    /** Requests permits for the routes of a destination with waiting messages, where they are required. */
    void requestWhereRequired(Destination destination) {
        long now = context.now();
        for (Route route : destination.routes.values()) {
            LimitGroup group = route.group;
            if (route.listed
                    && now < group.permitsRequiredUntilMicros
                    && !isAwaited(group)
                    && now >= group.permitValidUntilMicros) {
                report(group, PeerMessageType.PERMIT_REQUEST);
            }
        }
    }

    /** A permit arrived; one for a probe lets open circuits be probed at once and their outcome be reported. */
    void onPermit(LimitGroup group, boolean forProbe) {
        long now = context.now();
        group.permitRequested = false;
        group.reportsNextOutcome = forProbe;
        group.nextSendAtMicros = now;
        group.permitValidUntilMicros = now + PERMIT_VALIDITY_MICROS;
        group.circuit.probeNotBeforeMicros = now;
        group.routes.forEach(route -> route.circuit.probeNotBeforeMicros = now);
    }

    /** The coordinator announced congestion. */
    void onCongestionNotice(LimitGroup group) {
        group.permitsRequiredUntilMicros = context.now() + PERMITS_REQUIRED_MICROS;
    }

    /** A call used the permit. */
    void onSent(LimitGroup group) {
        group.permitValidUntilMicros = context.now();
    }
}
