package loftflow.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.policy.api.TimerFired;
import loftflow.policy.api.Zone;

/** Runs rounds of a policy and records the actions that it takes. */
final class PolicyHarness implements PolicyActions {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;

    record Sent(
            long atMicros,
            long id,
            int attempt,
            String route,
            long timeoutMicros,
            long sendTimeoutMicros,
            boolean mayShareCall) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Sent> unanswered = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final List<Long> unacknowledgedCompletions = new ArrayList<>();
    final List<Long> subscribedAtMicros = new ArrayList<>();
    final List<String> peerMessages = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    private final List<long[]> timers = new ArrayList<>();
    private final DeliveryPolicy policy;
    private final Map<Long, Integer> attempts = new HashMap<>();
    long now;

    PolicyHarness(PolicySettings settings) {
        policy = new DefaultDeliveryPolicy(settings);
    }

    DeliveryPolicy policy() {
        return policy;
    }

    /**
     * Settings with three kinds of destination: "plain" shares one limit among its routes, "apart" has independent
     * routes, and "bulk" shares one limit and takes batches of four.
     */
    static PolicySettings settings() {
        return settings(10, 100);
    }

    static PolicySettings settings(int maxConcurrentCalls, int maxOpenMessages) {
        return settings(maxConcurrentCalls, maxOpenMessages, false);
    }

    static PolicySettings settings(int maxConcurrentCalls, int maxOpenMessages, boolean mustSubscribe) {
        return settings(7, 2, maxConcurrentCalls, maxOpenMessages, mustSubscribe, false);
    }

    /** Settings of the first relay of a fleet. */
    static PolicySettings fleet(int fleetSize, long seed) {
        return settings(seed, fleetSize, 10, 100, false, false);
    }

    /** Settings of the first relay of a fleet whose relays may exchange messages. */
    static PolicySettings fleetWithPeerMessages(int fleetSize) {
        return settings(7, fleetSize, 10, 100, false, true);
    }

    /** Settings of a platform that allows no health checks. */
    static PolicySettings withoutProbes() {
        PolicySettings probed = settings();
        RelayLimits limits = probed.limits();
        return new PolicySettings(
                probed.seed(),
                probed.relayIndex(),
                probed.fleetSize(),
                probed.zone(),
                probed.classes(),
                probed.tenants(),
                probed.kinds(),
                probed.zones(),
                new RelayLimits(
                        limits.maxConcurrentCalls(),
                        limits.maxOpenMessages(),
                        limits.maxAttempts(),
                        true,
                        false,
                        false,
                        false,
                        false,
                        limits.connectTimeoutMicros()),
                probed.rules(),
                probed.overQuotaWeight(),
                probed.halvingDecay(),
                probed.mustSubscribe(),
                probed.rateHint(),
                probed.crossZoneCost());
    }

    private static PolicySettings settings(
            long seed,
            int fleetSize,
            int maxConcurrentCalls,
            int maxOpenMessages,
            boolean mustSubscribe,
            boolean peerMessages) {
        return new PolicySettings(
                seed,
                0,
                fleetSize,
                "east",
                List.of(
                        requestClass("safe", Idempotency.IDEMPOTENT, false),
                        requestClass("keyed", Idempotency.IDEMPOTENT_BY_KEY, false),
                        requestClass("once", Idempotency.NON_IDEMPOTENT, false),
                        requestClass("ordered", Idempotency.IDEMPOTENT, true),
                        new RequestClass(
                                "quick",
                                Idempotency.IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND / 2,
                                20 * SECOND,
                                9,
                                0,
                                false)),
                List.of(),
                List.of(
                        new DestinationKind("plain", false, 1),
                        new DestinationKind("apart", true, 1),
                        new DestinationKind("bulk", false, 4)),
                List.of(new Zone("east", 0), new Zone("west", 0)),
                new RelayLimits(maxConcurrentCalls, maxOpenMessages, 6, true, true, peerMessages, false, false, SECOND),
                new ServiceRules(20 * MILLISECOND, SECOND, 2, 2 * SECOND, 0.2, 10 * SECOND, 10 * SECOND, 3 * SECOND),
                1,
                false,
                mustSubscribe,
                RateHint.NONE,
                0);
    }

    private static RequestClass requestClass(String name, Idempotency idempotency, boolean ordered) {
        return new RequestClass(name, idempotency, KeyScope.ZONE, 6 * SECOND, 2 * SECOND, 20 * SECOND, 1, 0.5, ordered);
    }

    static EndpointEntry route(String name, int destination, String kind, String zone) {
        return new EndpointEntry(name, destination, kind, zone, Availability.LISTED, 0);
    }

    PolicyHarness applyList(EndpointEntry... entries) {
        return round(new EndpointListReceived(EndpointListKind.FULL, 1, List.of(entries)));
    }

    PolicyHarness applyChanges(EndpointEntry... entries) {
        return round(new EndpointListReceived(EndpointListKind.DELTA, 2, List.of(entries)));
    }

    PolicyHarness accept(long id, String requestClass, int destination) {
        return accept(id, requestClass, destination, null);
    }

    PolicyHarness accept(long id, String requestClass, int destination, String key) {
        return round(new MessageAccepted(id, requestClass, null, key, now + 20 * SECOND, destination));
    }

    PolicyHarness round(PolicyEvent... events) {
        policy.onRound(now, List.of(events), this);
        return this;
    }

    /** Advances the clock and fires timers as they fall due. */
    PolicyHarness advance(long duration) {
        long end = now + duration;
        while (true) {
            long[] next =
                    timers.stream().min((a, b) -> Long.compare(a[0], b[0])).orElse(null);
            if (next == null || next[0] > end) {
                now = end;
                return this;
            }
            timers.remove(next);
            now = Math.max(now, next[0]);
            round(new TimerFired(next[1]));
        }
    }

    PolicyHarness answer(long id, AttemptOutcome outcome) {
        return answer(id, outcome, 0);
    }

    /** Completes the oldest attempt in flight of a message. */
    PolicyHarness answer(long id, AttemptOutcome outcome, long retryAfterMicros) {
        return answer(id, outcome, retryAfterMicros, LimitReport.NONE);
    }

    /** Completes the oldest attempt in flight of a message, with a report of the destination's limit. */
    PolicyHarness answer(long id, AttemptOutcome outcome, long retryAfterMicros, LimitReport report) {
        Sent attempt = unanswered.stream().filter(s -> s.id() == id).findFirst().orElseThrow();
        unanswered.remove(attempt);
        return round(new AttemptCompleted(
                id,
                attempt.attempt(),
                attempt.route(),
                outcome,
                outcome == AttemptOutcome.OK,
                retryAfterMicros,
                now - attempt.atMicros(),
                report));
    }

    long sendCount(long id) {
        return sent.stream().filter(s -> s.id() == id).count();
    }

    @Override
    public void send(long id, String route, long timeoutMicros, long sendTimeoutMicros, boolean mayShareCall) {
        int attemptNumber = attempts.merge(id, 1, Integer::sum) - 1;
        Sent attempt = new Sent(now, id, attemptNumber, route, timeoutMicros, sendTimeoutMicros, mayShareCall);
        sent.add(attempt);
        unanswered.add(attempt);
    }

    @Override
    public void cancel(long id, int attempt) {
        cancelled.add(id);
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        rejected.add(id);
    }

    @Override
    public void fail(long id) {
        failed.add(id);
    }

    @Override
    public void setTimer(long timer, long delayMicros) {
        timers.add(new long[] {now + Math.max(1, delayMicros), timer});
    }

    @Override
    public void probe(String route) {
        probes.add(route);
    }

    @Override
    public boolean isCompletionAcknowledged(long id) {
        return !unacknowledgedCompletions.contains(id);
    }

    @Override
    public void closeIdleConnections(String route) {}

    @Override
    public void sendToPeer(int relay, byte[] payload) {
        peerMessages.add(relay + ":" + HexFormat.of().formatHex(payload));
    }

    @Override
    public void subscribe(boolean on) {
        subscribedAtMicros.add(now);
    }

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String text) {
        logged.add(text);
    }
}
