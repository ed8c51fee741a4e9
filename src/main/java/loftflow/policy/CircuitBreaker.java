package loftflow.policy;

/**
 * Closed, open or half-open: when does the circuit of a route, and of a group, move?
 *
 * <p>A circuit opens after consecutive failures (fewer where a destination is called rarely), when its route's error
 * rate is too high, or when its route is unresponsive. An open circuit becomes half-open after a pause and lets one
 * probe pass. It closes when a call is served that was sent after the latest failure. A group's circuit covers all of
 * its routes; where a group is one independent route, both are the same circuit. Times are microseconds.
 */
final class CircuitBreaker {
    /** Consecutive failures that open a circuit. */
    static final int FAILURES_TO_OPEN = 3;

    /** Between two probes of one destination where all relays of a fleet probe it. */
    static final long FLEET_PROBE_INTERVAL_MICROS = 1_000_000;

    /** A route with a higher error rate is opened, and scored as unhealthy. */
    static final double MAX_ERROR_RATE = 0.5;

    /** Calls within the decay window for which one more failure is awaited before a circuit opens. */
    private static final double CALLS_PER_AWAITED_FAILURE = 2;

    /** The shortest pause before a probe. */
    private static final long MIN_RECOVERY_MICROS = 2_000_000;

    private final RoundContext context;
    private final RecoveryRamp ramp;
    private final OutlierDetector outliers;

    CircuitBreaker(RoundContext context, RecoveryRamp ramp, OutlierDetector outliers) {
        this.context = context;
        this.ramp = ramp;
        this.outliers = outliers;
    }

    /** A call was served: closes the circuits of its group and its route, as far as it proves that they are sound. */
    void onServed(Call call) {
        Route route = call.route;
        closeIfProven(call, route.group.circuit, route);
        if (route.circuit != route.group.circuit) {
            closeIfProven(call, route.circuit, route);
        }
    }

    private void closeIfProven(Call call, Circuit circuit, Route route) {
        boolean hadFailures = circuit.consecutiveFailures > 0;
        if (circuit.isClosed()) {
            circuit.consecutiveFailures = 0;
            return;
        }
        // An answer to a call sent before the failure may come from the destination's queue and proves nothing.
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
     * A call failed: opens the circuits of its route and its group where that was one failure too many.
     *
     * @param weight 1, or 0 for a failure that says nothing of the route's health but counts into its error rate
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

    /** Opens the circuit of a route whose calls stay unanswered, well before their timeouts would. */
    void openIfUnresponsive(Route route) {
        boolean enough = route.callsInFlight.size() >= Math.min(2, failuresToOpen(route.group));
        if (enough && route.circuit.isClosed() && outliers.isUnresponsive(route, 1)) {
            open(route.circuit, route.group, Circuit.Cause.UNRESPONSIVE, 0);
        }
    }

    /** Opens a circuit, or keeps it open, for at least as long as the destination's Retry-After. */
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

    /** Starts a circuit as open after a restart; each relay of a fleet probes at a random time of its own. */
    void startOpen(Circuit circuit, LimitGroup group, boolean onlyForAddressCheck) {
        circuit.state = Circuit.State.OPEN;
        circuit.openedAtMicros = context.now();
        circuit.awaitsAddressCheck = onlyForAddressCheck;
        if (onlyForAddressCheck) {
            circuit.probeNotBeforeMicros = group.nextSendAtMicros;
            return;
        }
        double random = context.nextRandom();
        long longest = Math.min(rampIntervalMicros(group), maxProbePauseMicros());
        circuit.probeNotBeforeMicros = context.now() + (long) (random * longest);
    }

    /** Makes an open circuit whose pause is over half-open; true where it may be probed now. */
    boolean admitsProbe(Circuit circuit) {
        if (circuit.state == Circuit.State.OPEN && context.now() >= circuit.probeNotBeforeMicros) {
            circuit.state = Circuit.State.HALF_OPEN;
        }
        return circuit.state == Circuit.State.HALF_OPEN && !circuit.probeInFlight;
    }

    /**
     * The probes of a whole fleet stay within what a cold destination can take; who calls it rarely probes it rarely.
     */
    private long probePause(LimitGroup group) {
        long pause = Math.min(rampIntervalMicros(group), maxProbePauseMicros());
        return context.withJitter(Math.max(MIN_RECOVERY_MICROS, pause));
    }

    private long rampIntervalMicros(LimitGroup group) {
        return RoundContext.intervalMicros(ramp.ratePerSecond(group, context.now()));
    }

    private long maxProbePauseMicros() {
        return context.settings().fleetSize() * FLEET_PROBE_INTERVAL_MICROS;
    }

    /** Where a group is called rarely, fewer failures open a circuit, since three would take too long to occur. */
    private static int failuresToOpen(LimitGroup group) {
        double awaited = group.sentCalls.countAtLastEvent() / CALLS_PER_AWAITED_FAILURE;
        return (int) Math.max(1, Math.min(FAILURES_TO_OPEN, awaited));
    }
}
