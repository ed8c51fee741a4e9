package loftflow.warmstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RetryAfterReceived;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TrustLevel;

/**
 * What a relay knows of its endpoints: restored at the start from the snapshot of an earlier process, then updated by
 * discovery and by the outcomes of calls. Not thread-safe; used on the event loop. Times are the relay's own, in
 * microseconds.
 */
public final class EndpointHistory {
    /** A call that times out sooner than this, by its own deadline, is no sign of a hanging endpoint. */
    private static final long MIN_HANG_MICROS = 1_000_000;
    /** Until a process has run this long, the call rates of the process before it are the better ones. */
    private static final long RATE_LEARNING_MICROS = 20_000_000;

    /** Why an endpoint is ejected. */
    private enum EjectionReason {
        UNEXPECTED_RESPONSE("unexpected-response"),
        REFUSED_OR_HUNG("refused-or-hung-twice");

        private final String label;

        EjectionReason(String label) {
            this.label = label;
        }
    }

    private final WarmStartOptions options;
    private final String owner;
    private final Map<String, KnownEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, EndpointObservation> observations = new HashMap<>();
    /** Endpoints that discovery has listed in this process, or that come from a fixed list. They are not ejected. */
    private final Set<String> confirmedIds = new HashSet<>();

    private EndpointListReconciler reconciler;
    private long revision = -1;
    private long generation;
    private long openedAtMicros;
    private boolean hasUnsavedChanges;

    /** An empty history; {@link #restore} is called once before anything else. */
    public EndpointHistory(WarmStartOptions options, String owner) {
        this.options = options;
        this.owner = owner;
    }

    /**
     * Restores what an earlier process left.
     *
     * @param snapshot null where there is none
     * @param deltas deltas recorded since the snapshot, in order
     * @param isComplete false where deltas may be missing
     * @param otherList the list known from the deploy file; null for none. Used where there is no snapshot, where it is
     *     newer, and where the list is fixed
     * @param clocks the machine's clocks now
     * @param nowMicros the relay's own time
     */
    public RestoredState restore(
            Snapshot snapshot,
            List<SnapshotDelta> deltas,
            boolean isComplete,
            ListUpdate otherList,
            ClockReading clocks,
            long nowMicros) {
        openedAtMicros = nowMicros;
        List<ListedEndpoint> list = new ArrayList<>();
        List<RouteRestored> restoredRoutes = new ArrayList<>();
        List<String> logLines = new ArrayList<>();
        if (snapshot != null) {
            boolean hasAllDeltas = load(snapshot, deltas) && isComplete;
            if (options.isListFixed() || isNewer(otherList)) {
                restrictTo(otherList, nowMicros);
            }
            DowntimeEstimate downtime = DowntimeEstimate.between(snapshot.clocks(), clocks);
            RestoreSummary summary = new RestoreSummary(revision, downtime);
            for (KnownEndpoint endpoint : List.copyOf(endpoints.values())) {
                EndpointTrust trust = trustOf(endpoint, snapshot, downtime, hasAllDeltas);
                summary.count(trust);
                capEvidence(endpoint, trust, nowMicros);
                if (trust != EndpointTrust.NEVER) {
                    list.add(new ListedEndpoint(endpoint.entry(), endpoint.address()));
                    restoredRoutes.add(restore(endpoint, trust, snapshot.relayTimeMicros(), downtime, nowMicros));
                }
            }
            logLines.add(summary.logLine());
        } else if (otherList != null) {
            revision = otherList.revision();
            otherList.entries().forEach(entry -> endpoints.put(entry.id(), newlyListed(entry, nowMicros)));
            list.addAll(otherList.entries());
        }
        if (options.isListFixed()) {
            confirmedIds.addAll(endpoints.keySet());
        }
        reconciler = new EndpointListReconciler(options.settleMicros(), revision, list);
        hasUnsavedChanges = true;
        return new RestoredState(list, revision, restoredRoutes, logLines);
    }

    private boolean load(Snapshot snapshot, List<SnapshotDelta> deltas) {
        generation = snapshot.generation();
        revision = snapshot.revision();
        snapshot.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        return DeltaReplay.apply(endpoints, deltas, snapshot.relayTimeMicros());
    }

    private boolean isNewer(ListUpdate list) {
        return list != null && (revision < 0 || list.revision() > revision);
    }

    /**
     * Replaces the list by another one; endpoints that are in both with the same address keep what is known of them.
     */
    private void restrictTo(ListUpdate list, long nowMicros) {
        Map<String, KnownEndpoint> previous = new HashMap<>(endpoints);
        endpoints.clear();
        for (ListedEndpoint entry : list.entries()) {
            KnownEndpoint known = previous.get(entry.id());
            boolean isSame = known != null && known.address().equals(entry.address());
            endpoints.put(
                    entry.id(),
                    isSame
                            ? known.withListing(entry.entry(), entry.address(), known.listedAtMicros())
                            : newlyListed(entry, nowMicros));
        }
        revision = list.revision();
    }

    private static KnownEndpoint newlyListed(ListedEndpoint entry, long nowMicros) {
        return KnownEndpoint.newlyListed(entry.entry(), entry.address(), nowMicros);
    }

    private EndpointTrust trustOf(
            KnownEndpoint endpoint, Snapshot snapshot, DowntimeEstimate downtime, boolean hasAllDeltas) {
        return options.isListFixed()
                ? EndpointTrust.AS_LISTED
                : options.trustPolicy().trustOf(endpoint, snapshot.relayTimeMicros(), downtime, hasAllDeltas);
    }

    /** Lowers the evidence to the trust of this start, so that the next one trusts the endpoint no more. */
    private void capEvidence(KnownEndpoint endpoint, EndpointTrust trust, long nowMicros) {
        long latestMicros = options.trustPolicy().latestEvidenceMicros(trust, nowMicros);
        endpoints.put(endpoint.id(), endpoint.withEvidenceNoLaterThan(latestMicros));
    }

    private RouteRestored restore(
            KnownEndpoint endpoint,
            EndpointTrust trust,
            long savedAtMicros,
            DowntimeEstimate downtime,
            long nowMicros) {
        RouteSnapshot saved = endpoint.routeSnapshotOrUnknown();
        // Only time that has provably passed counts against a wait: none is shortened by a restart.
        long retryAfterMicros = saved.retryAfterRemainingMicros() > 0
                ? Math.max(
                        0, saved.retryAfterRemainingMicros() - downtime.minMicros() + options.retryAfterMarginMicros())
                : 0;
        long sinceRecoveryMicros = endpoint.recoveredAtMicros() > 0
                ? endpoint.recoveredAtMicros() + options.warmUpMicros() - savedAtMicros
                : 0;
        long warmUpMicros = Math.max(sinceRecoveryMicros, saved.warmUpRemainingMicros()) - downtime.minMicros();
        RouteSnapshot restored = RouteSnapshots.withWaits(
                saved, retryAfterMicros, Math.max(0, Math.min(options.warmUpMicros(), warmUpMicros)));
        observationOf(endpoint.id())
                .restore(saved.circuitOpen(), retryAfterMicros > 0 ? nowMicros + retryAfterMicros : 0);
        endpoints.computeIfPresent(endpoint.id(), (id, known) -> known.withRouteSnapshot(restored));
        return new RouteRestored(trust.toTrustLevel(), restored);
    }

    private EndpointObservation observationOf(String id) {
        return observations.computeIfAbsent(id, absentId -> new EndpointObservation());
    }

    /** Applies a list that discovery sent. */
    public HistoryUpdate onListUpdate(ListUpdate list, long nowMicros) {
        EndpointListReconciler.Result result = reconciler.reconcile(list, nowMicros);
        return apply(result.accepted(), result.logLines(), result.refreshAtMicros(), nowMicros);
    }

    /** Applies the entries that were held back and whose hold has ended. */
    public HistoryUpdate releaseDue(long nowMicros) {
        ListUpdate list = reconciler.releaseDue(nowMicros);
        return list == null ? HistoryUpdate.NOTHING : apply(list, List.of(), EndpointListReconciler.NEVER, nowMicros);
    }

    /** When {@link #releaseDue} next has entries to apply; {@link EndpointListReconciler#NEVER} for not at all. */
    public long nextReleaseMicros() {
        return reconciler.nextReleaseMicros();
    }

    /** Another discovery agent sends the lists from now on. */
    public void onDiscoveryReplaced() {
        reconciler.resetRevision();
    }

    private HistoryUpdate apply(ListUpdate list, List<String> logLines, long refreshAtMicros, long nowMicros) {
        if (list == null) {
            return new HistoryUpdate(null, List.of(), List.of(), logLines, refreshAtMicros);
        }
        boolean isFull = list.kind() == EndpointListKind.FULL;
        hasUnsavedChanges = true;
        revision = Math.max(isFull ? -1 : revision, list.revision());
        List<RouteRestored> restoredRoutes = new ArrayList<>();
        List<SnapshotDelta> deltas = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (ListedEndpoint entry : list.entries()) {
            if (entry.isInService()) {
                listedIds.add(entry.id());
                applyListed(entry, restoredRoutes, nowMicros);
            } else {
                remove(entry.id(), deltas, nowMicros);
            }
        }
        if (isFull) {
            List<String> missingIds = endpoints.keySet().stream()
                    .filter(id -> !listedIds.contains(id))
                    .toList();
            missingIds.forEach(id -> remove(id, deltas, nowMicros));
        }
        return new HistoryUpdate(list, restoredRoutes, deltas, logLines, refreshAtMicros);
    }

    private void applyListed(ListedEndpoint entry, List<RouteRestored> restoredRoutes, long nowMicros) {
        KnownEndpoint known = endpoints.get(entry.id());
        confirmedIds.add(entry.id());
        if (known != null && known.state() == KnownEndpoint.State.EJECTED) {
            // It did not answer just now: it is probed first, and warmed up as after a failure.
            RouteSnapshot route = RouteSnapshots.withCircuitOpen(known.routeSnapshotOrUnknown(), true);
            restoredRoutes.add(new RouteRestored(TrustLevel.PROBE_FIRST, route));
        }
        endpoints.put(
                entry.id(),
                known == null
                        ? newlyListed(entry, nowMicros)
                        : known.withListing(entry.entry(), entry.address(), nowMicros));
    }

    private void remove(String id, List<SnapshotDelta> deltas, long nowMicros) {
        if (endpoints.remove(id) != null) {
            deltas.add(new SnapshotDelta(SnapshotDelta.Kind.OUT_OF_SERVICE, id, nowMicros));
        }
        observations.remove(id);
        confirmedIds.remove(id);
    }

    /** Applies an event that the engine sends to the decision module: how a call or a probe ended, or a retry-after. */
    public HistoryUpdate onPolicyEvent(PolicyEvent event, long nowMicros) {
        if (event instanceof AttemptCompleted attempt) {
            return onAttempt(attempt, nowMicros);
        }
        if (event instanceof ProbeCompleted probe) {
            return onProbe(probe, nowMicros);
        }
        if (event instanceof RetryAfterReceived received && isListed(received.route())) {
            List<SnapshotDelta> deltas = new ArrayList<>();
            recordRetryAfter(received.route(), received.retryAfterMicros(), deltas, nowMicros);
            return deltas.isEmpty() ? HistoryUpdate.NOTHING : HistoryUpdate.ofDeltas(deltas);
        }
        return HistoryUpdate.NOTHING;
    }

    private boolean isListed(String id) {
        KnownEndpoint known = endpoints.get(id);
        return known != null && known.isListed();
    }

    private HistoryUpdate onAttempt(AttemptCompleted attempt, long nowMicros) {
        boolean hung = attempt.outcome() == AttemptOutcome.TIMEOUT && attempt.elapsedMicros() >= MIN_HANG_MICROS;
        boolean isStrike = hung || attempt.outcome() == AttemptOutcome.CONNECT_FAILED;
        return onOutcome(attempt.route(), attempt.outcome(), attempt.retryAfterMicros(), isStrike, false, nowMicros);
    }

    private HistoryUpdate onProbe(ProbeCompleted probe, long nowMicros) {
        // A probe is answered with 200 or 503, or 429 with a retry-after; anything else does not speak this protocol.
        boolean isUnexpected = probe.outcome() == AttemptOutcome.ERROR;
        boolean isStrike =
                probe.outcome() == AttemptOutcome.TIMEOUT || probe.outcome() == AttemptOutcome.CONNECT_FAILED;
        return onOutcome(probe.route(), probe.outcome(), probe.retryAfterMicros(), isStrike, isUnexpected, nowMicros);
    }

    private void recordRetryAfter(String id, long waitMicros, List<SnapshotDelta> deltas, long nowMicros) {
        EndpointObservation observation = observationOf(id);
        if (observation.recordRetryAfter(waitMicros, nowMicros)) {
            deltas.add(new SnapshotDelta(SnapshotDelta.Kind.RETRY_AFTER, id, observation.retryAfterUntilMicros()));
        }
    }

    /**
     * Applies the end of a call or a probe.
     *
     * @param isStrike it was refused, or hung
     * @param isUnexpected its answer is none of this protocol
     */
    private HistoryUpdate onOutcome(
            String id,
            AttemptOutcome outcome,
            long retryAfterMicros,
            boolean isStrike,
            boolean isUnexpected,
            long nowMicros) {
        KnownEndpoint known = endpoints.get(id);
        if (known == null || !known.isListed()) {
            return HistoryUpdate.NOTHING;
        }
        EndpointObservation observation = observationOf(id);
        List<SnapshotDelta> deltas = new ArrayList<>();
        recordRetryAfter(id, retryAfterMicros, deltas, nowMicros);
        KnownEndpoint endpoint = observation.recordOutcome(known, outcome, deltas, nowMicros);
        endpoints.put(id, endpoint);
        if (confirmedIds.contains(id)) {
            return HistoryUpdate.ofDeltas(deltas);
        }
        if (isStrike) {
            observation.recordStrike(nowMicros);
        }
        if (isUnexpected) {
            return eject(endpoint, EjectionReason.UNEXPECTED_RESPONSE, deltas, nowMicros);
        }
        return observation.hasEjectionStrikes()
                ? eject(endpoint, EjectionReason.REFUSED_OR_HUNG, deltas, nowMicros)
                : HistoryUpdate.ofDeltas(deltas);
    }

    private HistoryUpdate eject(
            KnownEndpoint endpoint, EjectionReason reason, List<SnapshotDelta> deltas, long nowMicros) {
        endpoints.put(endpoint.id(), endpoint.withState(KnownEndpoint.State.EJECTED));
        hasUnsavedChanges = true;
        deltas.add(new SnapshotDelta(SnapshotDelta.Kind.EJECTED, endpoint.id(), nowMicros));
        ListedEndpoint removed = new ListedEndpoint(endpoint.entry(), endpoint.address()).removed();
        return new HistoryUpdate(
                new ListUpdate(EndpointListKind.DELTA, revision, List.of(removed)),
                List.of(),
                deltas,
                List.of("warmstart: endpoint ejected until listed endpoint=" + endpoint.id() + " address="
                        + endpoint.address() + " reason=" + reason.label),
                EndpointListReconciler.NEVER);
    }

    /** True where the list has changed since the last snapshot. */
    public boolean hasUnsavedChanges() {
        return hasUnsavedChanges;
    }

    /**
     * A snapshot of all that is known now.
     *
     * @param clocks the machine's clocks now
     * @param nowMicros the relay's own time
     * @param routes what the decision module knows
     */
    public Snapshot takeSnapshot(ClockReading clocks, long nowMicros, List<RouteSnapshot> routes) {
        Map<String, RouteSnapshot> routesById = new HashMap<>();
        routes.forEach(route -> routesById.put(route.route(), route));
        boolean isLearning = nowMicros - openedAtMicros < RATE_LEARNING_MICROS;
        List<KnownEndpoint> current = new ArrayList<>();
        for (KnownEndpoint endpoint : endpoints.values()) {
            RouteSnapshot route = routesById.get(endpoint.id());
            RouteSnapshot earlier = endpoint.routeSnapshot();
            if (route == null) {
                current.add(endpoint);
            } else if (earlier != null && isLearning) {
                current.add(endpoint.withRouteSnapshot(RouteSnapshots.withEarlierRates(route, earlier)));
            } else {
                current.add(endpoint.withRouteSnapshot(route));
            }
        }
        return new Snapshot(owner, generation + 1, clocks, nowMicros, revision, current);
    }

    /** The write of the last snapshot has begun: the next one has the next generation. */
    public void onSnapshotStarted() {
        hasUnsavedChanges = false;
        generation++;
    }

    /** The write of the last snapshot has failed: its generation is free again, and its changes are unsaved. */
    public void onSnapshotFailed() {
        hasUnsavedChanges = true;
        generation--;
    }
}
