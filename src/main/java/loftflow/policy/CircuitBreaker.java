package loftflow.policy;

/**
 * Decides the transitions of circuits of routes and groups between closed, open and half-open.
 *
 * <p>A circuit opens after consecutive failures (fewer if the destination is called rarely), if its route's error rate
 * is too high, or if its route is unresponsive. After a pause, an open circuit becomes half-open and lets one probe
 * pass. It closes when a call is served that was sent after the latest failed one. A group's circuit covers all of its
 * routes; if the group is a single independent route, both share one circuit. Times are in microseconds.
 */
final class CircuitBreaker {
    /** Consecutive failures that open a circuit. */
    static final int FAILURES_TO_OPEN = 3;

    /** Interval between two probes of one destination if all relays of a fleet probe it. */
    static final long FLEET_PROBE_INTERVAL_MICROS = 1_000_000;

    /** Error rate above which a route's circuit opens and the route is scored as unhealthy. */
    static final double MAX_ERROR_RATE = 0.5;

    /** Calls within the decay window per consecutive failure that is required to open a circuit. */
    private static final double CALLS_PER_REQUIRED_FAILURE = 2;

    /** Minimum pause before a probe. */
    private static final long MIN_PROBE_PAUSE_MICROS = 2_000_000;

    private final RoundContext context;
    private final RecoveryRamp ramp;
    private final OutlierDetector outliers;

    CircuitBreaker(RoundContext context, RecoveryRamp ramp, OutlierDetector outliers) {
        this.context = context;
        this.ramp = ramp;
        this.outliers = outliers;
    }

    /** Handles a served call: closes the circuits of its group and route as far as it proves them healthy. */
    void onServed(Call call) {
        Route route = call.route;
        closeIfProvenHealthy(call, route.group.circuit, route);
        if (route.circuit != route.group.circuit) {
            closeIfProvenHealthy(call, route.circuit, route);
        }
    }

    private void closeIfProvenHealthy(Call call, Circuit circuit, Route route) {
        boolean hadFailures = circuit.consecutiveFailures > 0;
        if (circuit.isClosed()) {
            circuit.consecutiveFailures = 0;
            return;
        }
        // An answer to a call sent before the failed one may come from the destination's queue and proves nothing.
        if (call.sentAtMicros < circuit.lastFailedCallSentAtMicros) {
            return;
        }
        circuit.consecutiveFailures = 0;
        boolean sentBeforeOpening = call.sentAtMicros < circuit.openedAtMicros;
        if (sentBeforeOpening
                && (circuit.openedBy != Circuit.Cause.UNRESPONSIVE || outliers.isUnresponsive(route, 1))) {
            return;
        }
        close(circuit, route, !sentBeforeOpening || hadFailures);
    }

    private void close(Circuit circuit, Route route, boolean wasOutage) {
        LimitGroup group = route.group;
        circuit.state = Circuit.State.CLOSED;
        route.errorRate = 0;
        if (circuit == group.circuit && !circuit.awaitsAddressCheck) {
            if (wasOutage) {
                group.recoveredAtMicros = context.now();
                group.nextSendAtMicros =
                        context.now() + RoundContext.intervalMicros(ramp.ratePerSecond(group, context.now()));
            }
            context.actions().log("circuit: closed route=" + route.name);
        }
        circuit.awaitsAddressCheck = false;
    }

    /**
     * Handles a failed call: opens the circuits of its route and group if they have reached their limits.
     *
     * @param weight 1, or 0 for a failure that does not indicate an unhealthy route and counts only towards its error
     *     rate
     */
    void onFailed(Call call, int weight) {
        Route route = call.route;
        LimitGroup group = route.group;
        route.errorRate += ResponseTimes.LATEST_CALL_WEIGHT * (1 - route.errorRate);
        countFailure(route.circuit, call, weight);
        boolean unhealthy =
                route.circuit.consecutiveFailures >= failuresToOpen(group) || route.errorRate > MAX_ERROR_RATE;
        if (unhealthy || !route.circuit.isClosed() && call.isProbe) {
            open(route.circuit, group, Circuit.Cause.FAILURES, 0);
        }
        if (group.circuit != route.circuit) {
            countFailure(group.circuit, call, weight);
            boolean noneClosed = group.routes.stream().noneMatch(other -> other.listed && other.circuit.isClosed());
            if (group.circuit.consecutiveFailures >= FAILURES_TO_OPEN || noneClosed) {
                open(group.circuit, group, Circuit.Cause.FAILURES, 0);
            }
        }
    }

    private static void countFailure(Circuit circuit, Call call, int weight) {
        circuit.consecutiveFailures += weight;
        circuit.lastFailedCallSentAtMicros = Math.max(circuit.lastFailedCallSentAtMicros, weight * call.sentAtMicros);
    }

    /** Opens the circuit of a route whose calls stay unanswered, well before those calls time out. */
    void openIfUnresponsive(Route route) {
        boolean hasEnoughCalls = route.callsInFlight.size() >= Math.min(2, failuresToOpen(route.group));
        if (hasEnoughCalls && route.circuit.isClosed() && outliers.isUnresponsive(route, 1)) {
            open(route.circuit, route.group, Circuit.Cause.UNRESPONSIVE, 0);
        }
    }

    /** Opens a circuit or keeps it open, at least for the duration of the destination's Retry-After. */
    void open(Circuit circuit, LimitGroup group, Circuit.Cause cause, long retryAfterMicros) {
        if (circuit.isClosed()) {
            circuit.openedAtMicros = context.now();
            circuit.openedBy = cause;
            if (circuit == group.circuit) {
                if (!ramp.isActive(group)) {
                    group.usualRatePerSecond = group.sentCalls.extrapolatedRatePerSecond(context.now());
                }
                context.actions().log("circuit: opened route=" + group.routes.get(0).name + " cause=" + cause.logName);
            }
        }
        circuit.state = Circuit.State.OPEN;
        circuit.awaitsAddressCheck = false;
        circuit.probeNotBeforeMicros = context.now() + Math.max(retryAfterMicros, probePause(group));
    }

    /**
     * Opens a circuit at the start after a restart. If more than the address has to be verified, each relay of a fleet
     * probes at a random time, so that they do not all probe at once.
     */
    void startOpen(Circuit circuit, LimitGroup group, boolean isAddressCheckOnly) {
        circuit.state = Circuit.State.OPEN;
        circuit.openedAtMicros = context.now();
        circuit.awaitsAddressCheck = isAddressCheckOnly;
        if (isAddressCheckOnly) {
            circuit.probeNotBeforeMicros = group.nextSendAtMicros;
            return;
        }
        double random = context.nextRandom();
        long maxPause = Math.min(rampIntervalMicros(group), maxProbePauseMicros());
        circuit.probeNotBeforeMicros = context.now() + (long) (random * maxPause);
    }

    /** Makes an open circuit half-open if its pause is over, and returns whether it may be probed now. */
    boolean admitsProbe(Circuit circuit) {
        if (circuit.state == Circuit.State.OPEN && context.now() >= circuit.probeNotBeforeMicros) {
            circuit.state = Circuit.State.HALF_OPEN;
        }
        return circuit.state == Circuit.State.HALF_OPEN && !circuit.hasProbeInFlight();
    }

    /**
     * Returns the pause before the next probe: the call interval of the recovery ramp, with jitter. It keeps the probes
     * of a whole fleet within the capacity of a cold destination, and a relay that calls a destination rarely probes it
     * rarely.
     */
    private long probePause(LimitGroup group) {
        long pause = Math.min(rampIntervalMicros(group), maxProbePauseMicros());
        return context.withJitter(Math.max(MIN_PROBE_PAUSE_MICROS, pause));
    }

    private long rampIntervalMicros(LimitGroup group) {
        return RoundContext.intervalMicros(ramp.ratePerSecond(group, context.now()));
    }

    private long maxProbePauseMicros() {
        return context.settings().fleetSize() * FLEET_PROBE_INTERVAL_MICROS;
    }

    /**
     * Returns the number of consecutive failures that open a circuit. It is lower for a rarely called group, in which
     * three failures would take too long to occur.
     */
    private static int failuresToOpen(LimitGroup group) {
        double required = group.sentCalls.countAtLastEvent() / CALLS_PER_REQUIRED_FAILURE;
        return (int) Math.max(1, Math.min(FAILURES_TO_OPEN, required));
    }
}
