package loftflow.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.ServiceRules;
import loftflow.policy.api.TimerFired;
import loftflow.policy.api.TrustLevel;
import loftflow.policy.api.Zone;

/**
 * A deterministic simulation of a whole fleet that starts at the same time while discovery is unavailable. Every relay
 * is a separate policy with its own snapshots, and relays do not communicate. Destinations are cold from the start and
 * reject calls above their capacity; messages from before the restart wait at every relay. The main method prints a
 * table for 10 to 10,000 relays.
 */
final class FleetRecoverySimulation {
    static final long SECOND = 1_000_000;
    static final double OVERLOAD_MULTIPLE = 2.5;
    private static final long BUCKET_MICROS = SECOND / 10;
    private static final int WINDOW_BUCKETS = 20;
    private static final double COLD_CAPACITY_SHARE = 0.15;
    private static final long WARM_UP_MICROS = 10 * SECOND;
    private static final long RESPONSE_MICROS = 50_000;
    private static final long REJECTION_MICROS = 5_000;
    private static final long LISTED = 60_000;

    /** State of a destination according to the snapshots of the relays. */
    enum SnapshotState {
        /** Healthy when the relays stopped, and healthy now. */
        WARM(TrustLevel.AS_LISTED, false, false),
        /** Its circuit was open when the relays stopped. */
        OUT(TrustLevel.AS_LISTED, true, true),
        /** The snapshot is hours old. */
        OLD(TrustLevel.PROBE_FIRST, false, true),
        /** Its circuit was open when the relays stopped, and its limit is not known. */
        OUT_NO_LIMIT(TrustLevel.AS_LISTED, true, true),
        /** No snapshot: the relays know only the address. */
        NOTHING(null, false, true);

        final TrustLevel trustLevel;
        final boolean circuitOpen;
        final boolean cold;

        SnapshotState(TrustLevel trustLevel, boolean circuitOpen, boolean cold) {
            this.trustLevel = trustLevel;
            this.circuitOpen = circuitOpen;
            this.cold = cold;
        }
    }

    /**
     * Results of one run.
     *
     * @param peakLoad highest load in two seconds, as a multiple of the destination's capacity at that time
     * @param recoveredAfterSeconds seconds until permanently less than one second's messages were waiting
     * @param withinObjective share of the messages that were delivered within their latency objective of two seconds
     * @param delivered share of the messages that were delivered
     */
    record Result(double peakLoad, double recoveredAfterSeconds, double withinObjective, double delivered) {}

    private record ScheduledEvent(long at, long sequence, int relay, PolicyEvent event) {}

    private final int relays;
    private final SnapshotState snapshotState;
    private final double capacity;
    private final long duration;
    private final SplittableRandom random = new SplittableRandom(14);
    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private final List<DefaultDeliveryPolicy> policies = new ArrayList<>();
    private final List<Map<Long, Integer>> attempts = new ArrayList<>();
    private final Map<Long, Long> acceptedAt = new HashMap<>();
    private final int[] callsPerBucket;
    private final int[] openMessagesPerSecond;
    private long sequence;
    private long now;
    private long nextId;
    private int arrived;
    private int delivered;
    private int withinObjective;
    private int openMessages;
    private double queueSpace;
    private long queueSpaceUpdatedAt;

    /**
     * Creates a fleet and schedules its messages.
     *
     * @param load offered load as a share of the destination's capacity
     * @param messagesPerRelay number of messages from before the restart at each relay
     * @param duration simulated time in microseconds
     */
    private FleetRecoverySimulation(
            int relays, SnapshotState snapshotState, double load, int messagesPerRelay, long duration) {
        this.relays = relays;
        this.snapshotState = snapshotState;
        this.duration = duration;
        capacity = relays;
        callsPerBucket = new int[(int) (duration / BUCKET_MICROS) + 1];
        openMessagesPerSecond = new int[(int) (duration / SECOND) + 1];
        for (int relay = 0; relay < relays; relay++) {
            DefaultDeliveryPolicy policy = new DefaultDeliveryPolicy(settings(relay));
            policies.add(policy);
            attempts.add(new HashMap<>());
            startRelay(relay, load, messagesPerRelay);
        }
    }

    private PolicySettings settings(int relay) {
        return new PolicySettings(
                relay * 7919L + 1,
                relay,
                relays,
                "a",
                List.of(new RequestClass(
                        "safe", Idempotency.IDEMPOTENT, KeyScope.ALL, 0, 2 * SECOND, 20 * SECOND, 1, 0.5, false)),
                List.of(),
                List.of(new DestinationKind("kind", true, 1)),
                List.of(new Zone("a", 0)),
                new RelayLimits(64, 1_000, 12, true, true, false, false, true, SECOND),
                new ServiceRules(
                        0, SECOND / 2, OVERLOAD_MULTIPLE, 2 * SECOND, COLD_CAPACITY_SHARE, WARM_UP_MICROS, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
    }

    /** Schedules the start of a relay, within a second of the others, with its resumed and its new messages. */
    private void startRelay(int relay, double load, int messagesPerRelay) {
        long at = random.nextLong(SECOND);
        schedule(
                at,
                relay,
                new EndpointListReceived(
                        EndpointListKind.CACHED,
                        1,
                        List.of(new EndpointEntry("p", 7, "kind", "a", Availability.LISTED, 0))));
        if (snapshotState.trustLevel != null) {
            double limit = snapshotState == SnapshotState.OUT_NO_LIMIT ? 0 : capacity;
            schedule(
                    at,
                    relay,
                    new RouteRestored(
                            snapshotState.trustLevel,
                            new RouteSnapshot(
                                    "p",
                                    0,
                                    limit,
                                    load * capacity / relays,
                                    RESPONSE_MICROS,
                                    snapshotState.circuitOpen,
                                    0)));
        }
        for (int i = 0; i < messagesPerRelay; i++) {
            scheduleArrival(at, relay);
        }
        double messagesPerSecond = load * capacity / relays;
        for (double arrivesAt = at; arrivesAt < duration; ) {
            arrivesAt += -Math.log(1 - random.nextDouble()) / messagesPerSecond * SECOND;
            if (arrivesAt < duration) {
                scheduleArrival((long) arrivesAt, relay);
            }
        }
    }

    private void scheduleArrival(long at, int relay) {
        long id = nextId++;
        acceptedAt.put(id, at);
        schedule(at, relay, new MessageAccepted(id, "safe", null, null, at + 20 * SECOND, 7));
    }

    private void schedule(long at, int relay, PolicyEvent event) {
        queue.add(new ScheduledEvent(at, sequence++, relay, event));
    }

    /** Returns the calls per second that the destination can take at a given time. */
    private double capacityAt(long at) {
        return capacity
                * (snapshotState.cold
                        ? Math.min(1, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * at / WARM_UP_MICROS)
                        : 1);
    }

    private AttemptOutcome handleCall() {
        callsPerBucket[(int) (now / BUCKET_MICROS)]++;
        // The destination queues at most half a second of calls and rejects further ones.
        double currentCapacity = capacityAt(now);
        queueSpace = Math.min(
                Math.max(2, currentCapacity / 2), queueSpace + currentCapacity * (now - queueSpaceUpdatedAt) / SECOND);
        queueSpaceUpdatedAt = now;
        if (queueSpace < 1) {
            return AttemptOutcome.REJECTED;
        }
        queueSpace--;
        return AttemptOutcome.OK;
    }

    private final class RelayActions extends NoOpPolicyActions {
        private final int relay;

        RelayActions(int relay) {
            this.relay = relay;
        }

        @Override
        public void send(long id, String route, long timeoutMicros, long sendTimeoutMicros, boolean mayShareCall) {
            int attempt = attempts.get(relay).merge(id, 1, Integer::sum) - 1;
            AttemptOutcome result = handleCall();
            long elapsed = result == AttemptOutcome.OK ? RESPONSE_MICROS : REJECTION_MICROS;
            schedule(
                    now + elapsed,
                    relay,
                    new AttemptCompleted(
                            id, attempt, route, result, result == AttemptOutcome.OK, 0, elapsed, LimitReport.NONE));
        }

        @Override
        public void probe(String route) {
            AttemptOutcome result = handleCall();
            schedule(
                    now + REJECTION_MICROS,
                    relay,
                    new ProbeCompleted(route, result, 0, REJECTION_MICROS, LimitReport.NONE));
        }

        @Override
        public void setTimer(long timer, long delayMicros) {
            schedule(now + Math.max(1, delayMicros), relay, new TimerFired(timer));
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            removeMessage(id);
        }

        @Override
        public void fail(long id) {
            removeMessage(id);
        }

        private void removeMessage(long id) {
            openMessages--;
            acceptedAt.remove(id);
            attempts.get(relay).remove(id);
        }

        @Override
        public void cancel(long id, int attempt) {}
    }

    private Result run() {
        for (ScheduledEvent scheduled = queue.poll();
                scheduled != null && scheduled.at < duration;
                scheduled = queue.poll()) {
            now = scheduled.at;
            List<PolicyEvent> events = new ArrayList<>(List.of(scheduled.event));
            while (queue.peek() != null && queue.peek().at == now && queue.peek().relay == scheduled.relay) {
                events.add(queue.poll().event);
            }
            for (PolicyEvent event : events) {
                if (event instanceof MessageAccepted) {
                    arrived++;
                    openMessages++;
                } else if (event instanceof AttemptCompleted completed && completed.outcome() == AttemptOutcome.OK) {
                    openMessages--;
                    delivered++;
                    withinObjective += now - acceptedAt.remove(completed.id()) <= 2 * SECOND ? 1 : 0;
                    attempts.get(scheduled.relay).remove(completed.id());
                }
            }
            policies.get(scheduled.relay).onRound(now, events, new RelayActions(scheduled.relay));
            openMessagesPerSecond[(int) (now / SECOND)] = openMessages;
        }
        return new Result(
                peakLoad(), recoveredAfterSeconds(), (double) withinObjective / arrived, (double) delivered / arrived);
    }

    private double peakLoad() {
        double peakLoad = 0;
        for (int from = 0; from + WINDOW_BUCKETS < callsPerBucket.length; from++) {
            double callsInWindow = 0;
            double capacityInWindow = 0;
            for (int i = from; i < from + WINDOW_BUCKETS; i++) {
                callsInWindow += callsPerBucket[i];
                capacityInWindow += capacityAt(i * BUCKET_MICROS + BUCKET_MICROS / 2) * BUCKET_MICROS / SECOND;
            }
            peakLoad = Math.max(peakLoad, callsInWindow / capacityInWindow);
        }
        return peakLoad;
    }

    private double recoveredAfterSeconds() {
        double messagesPerSecond = (double) arrived / (duration / SECOND);
        for (int second = openMessagesPerSecond.length - 2; second >= 0; second--) {
            if (openMessagesPerSecond[second] > messagesPerSecond) {
                return second + 1;
            }
        }
        return 0;
    }

    /** Simulates a fleet for a duration in microseconds. */
    static Result simulate(int relays, SnapshotState snapshotState, double load, int messagesPerRelay, long duration) {
        return new FleetRecoverySimulation(relays, snapshotState, load, messagesPerRelay, duration).run();
    }

    /** Prints the table, for load at half of the destination's capacity and two messages waiting at each relay. */
    public static void main(String[] args) {
        System.out.println("relays memory       peak  full after  in time  delivered");
        for (int relays : new int[] {10, 100, 1_000, 10_000}) {
            for (SnapshotState snapshotState : SnapshotState.values()) {
                Result result = simulate(relays, snapshotState, 0.5, 2, 60 * SECOND);
                System.out.println(String.format(
                        Locale.ROOT,
                        "%6d %-12s %5.2f  %8.0f s  %6.1f%%  %8.1f%%",
                        relays,
                        snapshotState,
                        result.peakLoad,
                        result.recoveredAfterSeconds,
                        100 * result.withinObjective,
                        100 * result.delivered));
            }
        }
    }
}
