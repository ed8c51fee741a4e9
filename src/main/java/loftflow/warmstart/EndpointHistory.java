package loftflow.warmstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.clock.ClockReading;
import loftflow.clock.DowntimeEstimate;
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
 * Tracks the state of a relay's endpoints. The state is restored at startup from the snapshot of an earlier process and
 * then updated from discovery lists and call outcomes. Not thread-safe; used on the event loop. Times are in
 * microseconds of the relay's own clock.
 */
public final class EndpointHistory {
    /** Shortest time-out that counts as a hang; a shorter one may only reflect a short deadline of the call. */
    private static final long MIN_HANG_MICROS = 1_000_000;
    /** Run time below which the call rates measured by the previous process are the better estimate. */
    private static final long RATE_LEARNING_MICROS = 20_000_000;

    /** Reason for which an endpoint is ejected. */
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
    /** Ids of endpoints that discovery has listed during this process, or that a fixed list names; never ejected. */
    private final Set<String> confirmedIds = new HashSet<>();

    private EndpointListReconciler reconciler;
    private long revision = -1;
    private long generation;
    private long restoredAtMicros;
    private boolean hasUnsavedChanges;

    /** Creates an empty history. {@link #restore} must be called once before any other method. */
    public EndpointHistory(WarmStartOptions options, String owner) {
        this.options = options;
        this.owner = owner;
    }

    /**
     * Restores the state that an earlier process recorded.
     *
     * @param snapshot the latest snapshot; null if there is none
     * @param deltas deltas recorded since the snapshot, in order
     * @param isComplete false if deltas may be missing
     * @param configuredList the list from the deploy file; null if there is none. Used if there is no snapshot, if
     *     it is newer than the snapshot, or if the list is fixed
     * @param clocks current reading of the machine's clocks
     * @param nowMicros current time by the relay's own clock
     */
    public RestoredState restore(
            Snapshot snapshot,
            List<SnapshotDelta> deltas,
            boolean isComplete,
            ListUpdate configuredList,
            ClockReading clocks,
            long nowMicros) {
        restoredAtMicros = nowMicros;
        List<ListedEndpoint> list = new ArrayList<>();
        List<RouteRestored> restoredRoutes = new ArrayList<>();
        List<String> logLines = new ArrayList<>();
        if (snapshot != null) {
            boolean hasAllDeltas = applySnapshot(snapshot, deltas) && isComplete;
            if (options.isListFixed() || isNewer(configuredList)) {
                replaceList(configuredList, nowMicros);
            }
            DowntimeEstimate downtime = DowntimeEstimate.between(snapshot.clocks(), clocks);
            RestoreSummary summary = new RestoreSummary(revision, downtime);
            for (KnownEndpoint endpoint : List.copyOf(endpoints.values())) {
                EndpointTrust trust = trustOf(endpoint, snapshot, downtime, hasAllDeltas);
                summary.count(trust);
                capEvidence(endpoint, trust, nowMicros);
                if (trust != EndpointTrust.NEVER) {
                    list.add(new ListedEndpoint(endpoint.entry(), endpoint.address()));
                    restoredRoutes.add(restoreRoute(endpoint, trust, snapshot.relayTimeMicros(), downtime, nowMicros));
                }
            }
            logLines.add(summary.logLine());
        } else if (configuredList != null) {
            revision = configuredList.revision();
            configuredList.entries().forEach(entry -> endpoints.put(entry.id(), newlyListed(entry, nowMicros)));
            list.addAll(configuredList.entries());
        }
        if (options.isListFixed()) {
            confirmedIds.addAll(endpoints.keySet());
        }
        reconciler = new EndpointListReconciler(options.settleMicros(), revision, list);
        hasUnsavedChanges = true;
        return new RestoredState(list, revision, restoredRoutes, logLines);
    }

    /** Returns false if the deltas are incomplete. */
    private boolean applySnapshot(Snapshot snapshot, List<SnapshotDelta> deltas) {
        generation = snapshot.generation();
        revision = snapshot.revision();
        snapshot.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        return DeltaReplay.apply(endpoints, deltas, snapshot.relayTimeMicros());
    }

    private boolean isNewer(ListUpdate list) {
        return list != null && (revision < 0 || list.revision() > revision);
    }

    /** Replaces the list. Endpoints that are in both lists with the same address keep their recorded state. */
    private void replaceList(ListUpdate list, long nowMicros) {
        Map<String, KnownEndpoint> previous = new HashMap<>(endpoints);
        endpoints.clear();
        for (ListedEndpoint entry : list.entries()) {
            KnownEndpoint known = previous.get(entry.id());
            boolean isSameAddress = known != null && known.address().equals(entry.address());
            endpoints.put(
                    entry.id(),
                    isSameAddress
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

    /** Caps the evidence to the trust at this start, so that the next start does not trust the endpoint more. */
    private void capEvidence(KnownEndpoint endpoint, EndpointTrust trust, long nowMicros) {
        long latestMicros = options.trustPolicy().latestEvidenceMicros(trust, nowMicros);
        endpoints.put(endpoint.id(), endpoint.withEvidenceNoLaterThan(latestMicros));
    }

    private RouteRestored restoreRoute(
            KnownEndpoint endpoint,
            EndpointTrust trust,
            long savedAtMicros,
            DowntimeEstimate downtime,
            long nowMicros) {
        RouteSnapshot saved = endpoint.routeSnapshotOrUnknown();
        // Subtracts only the proven downtime, so that a restart never shortens a wait.
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

    /** Applies the entries whose hold for flapping has ended. */
    public HistoryUpdate releaseDue(long nowMicros) {
        ListUpdate list = reconciler.releaseDue(nowMicros);
        return list == null ? HistoryUpdate.EMPTY : apply(list, List.of(), EndpointListReconciler.NEVER, nowMicros);
    }

    /** Returns when {@link #releaseDue} next has entries to apply; {@link EndpointListReconciler#NEVER} for never. */
    public long nextReleaseMicros() {
        return reconciler.nextReleaseMicros();
    }

    /** Handles the replacement of the discovery agent: revisions of the new agent's lists start over. */
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
            // An ejected endpoint was failing recently: it is probed first and warmed up as after a failure.
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

    /** Applies an event that the engine sends to the decision module: a call or probe outcome, or a retry-after. */
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
            return deltas.isEmpty() ? HistoryUpdate.EMPTY : HistoryUpdate.ofDeltas(deltas);
        }
        return HistoryUpdate.EMPTY;
    }

    private boolean isListed(String id) {
        KnownEndpoint known = endpoints.get(id);
        return known != null && known.isListed();
    }

    private HistoryUpdate onAttempt(AttemptCompleted attempt, long nowMicros) {
        boolean isHung = attempt.outcome() == AttemptOutcome.TIMEOUT && attempt.elapsedMicros() >= MIN_HANG_MICROS;
        boolean isRefusedOrHung = isHung || attempt.outcome() == AttemptOutcome.CONNECT_FAILED;
        return onOutcome(
                attempt.route(), attempt.outcome(), attempt.retryAfterMicros(), isRefusedOrHung, false, nowMicros);
    }

    private HistoryUpdate onProbe(ProbeCompleted probe, long nowMicros) {
        // A valid probe response is 200, 503, or 429 with a retry-after. Any other response shows that another service
        // is listening at the address.
        boolean isUnexpected = probe.outcome() == AttemptOutcome.ERROR;
        boolean isRefusedOrHung =
                probe.outcome() == AttemptOutcome.TIMEOUT || probe.outcome() == AttemptOutcome.CONNECT_FAILED;
        return onOutcome(
                probe.route(), probe.outcome(), probe.retryAfterMicros(), isRefusedOrHung, isUnexpected, nowMicros);
    }

    private void recordRetryAfter(String id, long waitMicros, List<SnapshotDelta> deltas, long nowMicros) {
        EndpointObservation observation = observationOf(id);
        if (observation.recordRetryAfter(waitMicros, nowMicros)) {
            deltas.add(new SnapshotDelta(SnapshotDelta.Kind.RETRY_AFTER, id, observation.retryAfterUntilMicros()));
        }
    }

    /**
     * Applies the outcome of a call or a probe.
     *
     * @param isRefusedOrHung true if the connection was refused or the call hung
     * @param isUnexpected true if the response is not part of the probe protocol
     */
    private HistoryUpdate onOutcome(
            String id,
            AttemptOutcome outcome,
            long retryAfterMicros,
            boolean isRefusedOrHung,
            boolean isUnexpected,
            long nowMicros) {
        KnownEndpoint known = endpoints.get(id);
        if (known == null || !known.isListed()) {
            return HistoryUpdate.EMPTY;
        }
        EndpointObservation observation = observationOf(id);
        List<SnapshotDelta> deltas = new ArrayList<>();
        recordRetryAfter(id, retryAfterMicros, deltas, nowMicros);
        KnownEndpoint endpoint = observation.recordOutcome(known, outcome, deltas, nowMicros);
        endpoints.put(id, endpoint);
        if (confirmedIds.contains(id)) {
            return HistoryUpdate.ofDeltas(deltas);
        }
        if (isRefusedOrHung) {
            observation.recordRefusalOrHang(nowMicros);
        }
        if (isUnexpected) {
            return eject(endpoint, EjectionReason.UNEXPECTED_RESPONSE, deltas, nowMicros);
        }
        return observation.hasReachedEjectionThreshold()
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

    /** Returns true if the list has changed since the last snapshot. */
    public boolean hasUnsavedChanges() {
        return hasUnsavedChanges;
    }

    /**
     * Returns a snapshot of the current state.
     *
     * @param clocks current reading of the machine's clocks
     * @param nowMicros current time by the relay's own clock
     * @param routes the decision module's current state of each route
     */
    public Snapshot takeSnapshot(ClockReading clocks, long nowMicros, List<RouteSnapshot> routes) {
        Map<String, RouteSnapshot> routesById = new HashMap<>();
        routes.forEach(route -> routesById.put(route.route(), route));
        boolean isLearning = nowMicros - restoredAtMicros < RATE_LEARNING_MICROS;
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

    /** Handles the start of a snapshot write: the next snapshot has the next generation. */
    public void onSnapshotStarted() {
        hasUnsavedChanges = false;
        generation++;
    }

    /** Handles a failed snapshot write: its generation is reused, and its changes are unsaved again. */
    public void onSnapshotFailed() {
        hasUnsavedChanges = true;
        generation--;
    }
}
