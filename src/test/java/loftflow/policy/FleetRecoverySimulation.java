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
 * A deterministic simulation of a whole fleet that starts at once with discovery down: every relay is a policy of its
 * own with its snapshots, and none knows of another. Destinations are cold from the start and reject calls above their
 * capacity; messages from before the restart wait at every relay. As a command it prints a table for 10 to 10,000
 * relays.
 */
final class FleetRecoverySimulation {
    static final long SECOND = 1_000_000;
    static final double FALL_MULTIPLE = 2.5;
    private static final long BUCKET = SECOND / 10;
    private static final int WINDOW = 20;
    private static final double COLD_FROM = 0.15;
    private static final long WARM_UP = 10 * SECOND;
    private static final long RESPONSE = 50_000;
    private static final long REFUSAL = 5_000;
    private static final long LISTED = 60_000;

    /** What the relays' snapshots say of a destination. */
    enum Memory {
        /** Was sound when they died, and is sound now. */
        WARM(TrustLevel.AS_LISTED, false, false),
        /** Its circuit was open when they died. */
        OUT(TrustLevel.AS_LISTED, true, true),
        /** The snapshot is hours old. */
        OLD(TrustLevel.PROBE_FIRST, false, true),
        /** Its circuit was open when they died, and its limit is not known. */
        OUT_NO_LIMIT(TrustLevel.AS_LISTED, true, true),
        /** There is no snapshot: the relays know the address alone. */
        NOTHING(null, false, true);

        final TrustLevel belief;
        final boolean out;
        final boolean cold;

        Memory(TrustLevel belief, boolean out, boolean cold) {
            this.belief = belief;
            this.out = out;
            this.cold = cold;
        }
    }

    /**
     * The figures of one run.
     *
     * @param peak the highest load in two seconds, as a multiple of the destination's capacity then
     * @param fullAfter seconds until less than a second's messages waited, permanently
     * @param inTime share of the messages that were delivered within their latency objective of two seconds
     * @param delivered share of the messages that were delivered at all
     */
    record Outcome(double peak, double fullAfter, double inTime, double delivered) {}

    private record Due(long at, long order, int relay, PolicyEvent event) {}

    private final int relays;
    private final Memory memory;
    private final double capacity;
    private final long span;
    private final SplittableRandom random = new SplittableRandom(14);
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<DefaultDeliveryPolicy> modules = new ArrayList<>();
    private final List<Map<Long, Integer>> attempts = new ArrayList<>();
    private final Map<Long, Long> acceptedAt = new HashMap<>();
    private final int[] calls;
    private final int[] waiting;
    private long order;
    private long now;
    private long nextId;
    private int came;
    private int delivered;
    private int inTime;
    private int open;
    private double room;
    private long roomAt;

    /**
     * A fleet.
     *
     * @param load offered load as a share of the destination's capacity
     */
    private FleetRecoverySimulation(int relays, Memory memory, double load, int heldEach, long span) {
        this.relays = relays;
        this.memory = memory;
        this.span = span;
        capacity = relays;
        calls = new int[(int) (span / BUCKET) + 1];
        waiting = new int[(int) (span / SECOND) + 1];
        for (int relay = 0; relay < relays; relay++) {
            DefaultDeliveryPolicy module = new DefaultDeliveryPolicy(settings(relay));
            modules.add(module);
            attempts.add(new HashMap<>());
            begin(relay, load, heldEach);
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
                new ServiceRules(0, SECOND / 2, FALL_MULTIPLE, 2 * SECOND, COLD_FROM, WARM_UP, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
    }

    /** Relays start within a second of each other, and resume their messages. */
    private void begin(int relay, double load, int heldEach) {
        long at = random.nextLong(SECOND);
        push(
                at,
                relay,
                new EndpointListReceived(
                        EndpointListKind.CACHED,
                        1,
                        List.of(new EndpointEntry("p", 7, "kind", "a", Availability.LISTED, 0))));
        if (memory.belief != null) {
            double limit = memory == Memory.OUT_NO_LIMIT ? 0 : capacity;
            push(
                    at,
                    relay,
                    new RouteRestored(
                            memory.belief,
                            new RouteSnapshot("p", 0, limit, load * capacity / relays, RESPONSE, memory.out, 0)));
        }
        for (int i = 0; i < heldEach; i++) {
            arrive(at, relay);
        }
        double each = load * capacity / relays;
        for (double t = at; t < span; ) {
            t += -Math.log(1 - random.nextDouble()) / each * SECOND;
            if (t < span) {
                arrive((long) t, relay);
            }
        }
    }

    private void arrive(long at, int relay) {
        long id = nextId++;
        acceptedAt.put(id, at);
        push(at, relay, new MessageAccepted(id, "safe", null, null, at + 20 * SECOND, 7));
    }

    private void push(long at, int relay, PolicyEvent event) {
        queue.add(new Due(at, order++, relay, event));
    }

    /** Calls a second that the destination can take now. */
    private double able(long at) {
        return capacity * (memory.cold ? Math.min(1, COLD_FROM + (1 - COLD_FROM) * at / WARM_UP) : 1);
    }

    private AttemptOutcome meet() {
        calls[(int) (now / BUCKET)]++;
        // It queues half a second of calls at the most, and rejects more.
        double able = able(now);
        room = Math.min(Math.max(2, able / 2), room + able * (now - roomAt) / SECOND);
        roomAt = now;
        if (room < 1) {
            return AttemptOutcome.REJECTED;
        }
        room--;
        return AttemptOutcome.OK;
    }

    private final class Hands extends NoOpPolicyActions {
        private final int relay;

        Hands(int relay) {
            this.relay = relay;
        }

        @Override
        public void send(long id, String route, long timeout, long leaveWithin) {
            int attempt = attempts.get(relay).merge(id, 1, Integer::sum) - 1;
            AttemptOutcome result = meet();
            long took = result == AttemptOutcome.OK ? RESPONSE : REFUSAL;
            push(
                    now + took,
                    relay,
                    new AttemptCompleted(
                            id, attempt, route, result, result == AttemptOutcome.OK, 0, took, LimitReport.NONE));
        }

        @Override
        public void probe(String route) {
            AttemptOutcome result = meet();
            push(now + REFUSAL, relay, new ProbeCompleted(route, result, 0, REFUSAL, LimitReport.NONE));
        }

        @Override
        public void setTimer(long name, long delay) {
            push(now + Math.max(1, delay), relay, new TimerFired(name));
        }

        @Override
        public void reject(long id, long retryIn) {
            over(id);
        }

        @Override
        public void fail(long id) {
            over(id);
        }

        private void over(long id) {
            open--;
            acceptedAt.remove(id);
            attempts.get(relay).remove(id);
        }

        @Override
        public void cancel(long id, int attempt) {}
    }

    private Outcome run() {
        for (Due due = queue.poll(); due != null && due.at < span; due = queue.poll()) {
            now = due.at;
            List<PolicyEvent> events = new ArrayList<>(List.of(due.event));
            while (queue.peek() != null && queue.peek().at == now && queue.peek().relay == due.relay) {
                events.add(queue.poll().event);
            }
            for (PolicyEvent event : events) {
                if (event instanceof MessageAccepted) {
                    came++;
                    open++;
                } else if (event instanceof AttemptCompleted e && e.outcome() == AttemptOutcome.OK) {
                    open--;
                    delivered++;
                    inTime += now - acceptedAt.remove(e.id()) <= 2 * SECOND ? 1 : 0;
                    attempts.get(due.relay).remove(e.id());
                }
            }
            modules.get(due.relay).onRound(now, events, new Hands(due.relay));
            waiting[(int) (now / SECOND)] = open;
        }
        return new Outcome(peak(), full(), (double) inTime / came, (double) delivered / came);
    }

    private double peak() {
        double peak = 0;
        for (int from = 0; from + WINDOW < calls.length; from++) {
            double load = 0;
            double able = 0;
            for (int i = from; i < from + WINDOW; i++) {
                load += calls[i];
                able += able(i * BUCKET + BUCKET / 2) * BUCKET / SECOND;
            }
            peak = Math.max(peak, load / able);
        }
        return peak;
    }

    private double full() {
        double aSecondsMessages = (double) came / (span / SECOND);
        for (int second = waiting.length - 2; second >= 0; second--) {
            if (waiting[second] > aSecondsMessages) {
                return second + 1;
            }
        }
        return 0;
    }

    /** Plays a fleet for a duration in microseconds. */
    static Outcome play(int relays, Memory memory, double load, int heldEach, long span) {
        return new FleetRecoverySimulation(relays, memory, load, heldEach, span).run();
    }

    /** Prints the table: load at half of the destination's capacity, two messages waiting at each relay. */
    public static void main(String[] args) {
        System.out.println("relays memory       peak  full after  in time  delivered");
        for (int relays : new int[] {10, 100, 1_000, 10_000}) {
            for (Memory memory : Memory.values()) {
                Outcome o = play(relays, memory, 0.5, 2, 60 * SECOND);
                System.out.println(String.format(
                        Locale.ROOT,
                        "%6d %-12s %5.2f  %8.0f s  %6.1f%%  %8.1f%%",
                        relays,
                        memory,
                        o.peak,
                        o.fullAfter,
                        100 * o.inTime,
                        100 * o.delivered));
            }
        }
    }
}
