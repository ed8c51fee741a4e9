package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.ServiceRules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates fleets of policies that send to one destination which reports its limits: 100 relays and three routes with
 * a limit each, or 14 relays and two routes that share a limit and take batches. The relays do not communicate, and
 * each sends too rarely to learn the limit from its own calls.
 */
class FleetLimitTest {
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int FLEET_SIZE = 100;
    private static final long STEP = 10 * MILLISECOND;
    private static final long ANSWER_DELAY = 300 * MILLISECOND;
    private static final long REJECTION_DELAY = 150 * MILLISECOND;
    /** Maximum age of a report. */
    private static final long REPORT_INTERVAL = 400 * MILLISECOND;

    private static final double[] ROUTE_LIMITS = {12, 20, 28};
    private static final double TOTAL_LIMIT = 60;
    /** Maximum batch size of the kind that takes batches. */
    private static final int MAX_BATCH_SIZE = 4;

    /** Rate limit of a destination: a token bucket of half a second, which rejected calls use up too. */
    private static final class RateLimit {
        private final double rate;
        private double tokens;
        private boolean closed;
        private long refilledAt;
        private long reportedAt = -REPORT_INTERVAL;
        private double reportedShare = 1;
        private int served;
        private int rejected;

        private RateLimit(double rate) {
            this.rate = rate;
            tokens = rate / 2;
        }

        private AttemptOutcome handleCall(long now) {
            tokens = Math.min(rate / 2, tokens + rate * (now - refilledAt) / SECOND);
            refilledAt = now;
            boolean accepted = tokens >= 1 && !closed;
            // Calls rejected while the destination is closed do not use up its limit.
            tokens = closed ? tokens : Math.max(0, tokens - 1);
            if (now - reportedAt >= REPORT_INTERVAL) {
                reportedAt = now;
                reportedShare = tokens / (rate / 2);
            }
            served += accepted ? 1 : 0;
            rejected += accepted ? 0 : 1;
            return accepted ? AttemptOutcome.OK : AttemptOutcome.REJECTED;
        }
    }

    private record Answer(long arrivesAt, int relay, long id, AttemptOutcome outcome, LimitReport report) {}

    private final List<PolicyHarness> relays = new ArrayList<>();
    private final Map<String, RateLimit> limits = new HashMap<>();
    private int maxBatchSize = 1;
    private final PriorityQueue<Answer> answers = new PriorityQueue<>(Comparator.comparingLong(Answer::arrivesAt));
    private long now;
    private long nextId;
    private int delivered;

    /** Simulates a total rate of messages, of which every fifth relay accepts six times as many as the others. */
    private void simulate(long duration, double rate, SplittableRandom random) {
        for (long end = now + duration; now < end; now += STEP) {
            while (!answers.isEmpty() && answers.peek().arrivesAt() <= now) {
                Answer answer = answers.poll();
                PolicyHarness relay = relays.get(answer.relay());
                relay.answer(answer.id(), answer.outcome(), 0, answer.report());
            }
            for (int i = 0; i < relays.size(); i++) {
                PolicyHarness relay = relays.get(i);
                relay.advance(now - relay.now);
                double relayRate = rate / relays.size() * (i % 5 == 0 ? 3 : 0.5);
                if (random.nextDouble() < relayRate * STEP / SECOND) {
                    relay.accept(nextId++, "quick", 1);
                }
                sendCalls(i, relay);
            }
        }
    }

    /** Combines the messages that one round sends to one route into calls of up to the batch size. */
    private void sendCalls(int relayIndex, PolicyHarness relay) {
        Map<String, List<PolicyHarness.Sent>> sent = new TreeMap<>();
        relay.sent.forEach(message ->
                sent.computeIfAbsent(message.route(), key -> new ArrayList<>()).add(message));
        sent.forEach((route, messages) -> {
            for (int from = 0; from < messages.size(); from += maxBatchSize) {
                List<PolicyHarness.Sent> call = messages.subList(from, Math.min(messages.size(), from + maxBatchSize));
                RateLimit limit = limits.get(route);
                AttemptOutcome outcome = limit.handleCall(now);
                delivered += outcome == AttemptOutcome.OK ? call.size() : 0;
                call.forEach(message -> answers.add(new Answer(
                        now + (outcome == AttemptOutcome.OK ? ANSWER_DELAY : REJECTION_DELAY),
                        relayIndex,
                        message.id(),
                        outcome,
                        new LimitReport(limit.reportedShare, limit.rate))));
            }
        });
        relay.sent.clear();
    }

    private void startIndependentRoutes(long seed) {
        for (int i = 0; i < ROUTE_LIMITS.length; i++) {
            limits.put("r" + i, new RateLimit(ROUTE_LIMITS[i]));
        }
        for (int i = 0; i < FLEET_SIZE; i++) {
            relays.add(new PolicyHarness(PolicyHarness.fleet(FLEET_SIZE, seed * FLEET_SIZE + i))
                    .applyList(
                            PolicyHarness.route("r0", 1, "apart", "east"),
                            PolicyHarness.route("r1", 1, "apart", "west"),
                            PolicyHarness.route("r2", 1, "apart", "east")));
        }
    }

    private void startBatchRoutes(int fleetSize, double limit, long seed) {
        maxBatchSize = MAX_BATCH_SIZE;
        RateLimit shared = new RateLimit(limit);
        limits.put("b0", shared);
        limits.put("b1", shared);
        for (int i = 0; i < fleetSize; i++) {
            relays.add(new PolicyHarness(PolicyHarness.fleet(fleetSize, seed * fleetSize + i))
                    .applyList(
                            PolicyHarness.route("b0", 1, "bulk", "east"),
                            PolicyHarness.route("b1", 1, "bulk", "west")));
        }
    }

    private int served() {
        return limits.values().stream()
                .distinct()
                .mapToInt(limit -> limit.served)
                .sum();
    }

    private int rejected() {
        return limits.values().stream()
                .distinct()
                .mapToInt(limit -> limit.rejected)
                .sum();
    }

    /**
     * Guards against a first cut that does not start from the actual send rate, combined with rejections of an exceeded
     * limit being taken for a closed destination: 1,215 to 1,340 calls were then served, 1,000 to 1,530 rejected, and
     * circuits opened about 200 to 400 times.
     */
    @ParameterizedTest
    @CsvSource({"1.2, 1", "1.2, 2", "2, 1", "2, 2"})
    void exceededLimitIsStillServedAlthoughRejectedCallsUseItUp(double load, long seed) {
        startIndependentRoutes(seed);
        simulate(30 * SECOND, TOTAL_LIMIT * load, new SplittableRandom(seed));
        assertTrue(served() >= 0.8 * TOTAL_LIMIT * 30, "served of " + TOTAL_LIMIT * 30 + ": " + served());
        assertTrue(rejected() <= served() / 2, "rejected: " + rejected() + ", served: " + served());
        int opened = relays.stream().mapToInt(relay -> relay.logged.size()).sum();
        assertTrue(opened <= FLEET_SIZE / 2, "circuits that opened or closed: " + opened);
    }

    /**
     * A destination is closed for ten seconds and reports that its limit is not used up. In the warm-up after it
     * reopens, its load in each overload window stays within the overload multiple of its current capacity.
     */
    @ParameterizedTest
    @CsvSource({"0.8, 1", "0.8, 2", "1.5, 1", "1.5, 2"})
    void closedDestinationIsNotOverloadedDuringItsRecovery(double load, long seed) {
        startIndependentRoutes(seed);
        SplittableRandom random = new SplittableRandom(seed);
        simulate(10 * SECOND, TOTAL_LIMIT * load, random);
        limits.values().forEach(limit -> limit.closed = true);
        simulate(10 * SECOND, TOTAL_LIMIT * load, random);
        limits.values().forEach(limit -> limit.closed = false);
        ServiceRules rules = PolicyHarness.fleet(FLEET_SIZE, 0).rules();
        for (long since = 0; since < rules.warmUpMicros(); since += rules.overloadWindowMicros()) {
            int callsBefore = served() + rejected();
            simulate(rules.overloadWindowMicros(), TOTAL_LIMIT * load, random);
            double warmUpShare = (since + rules.overloadWindowMicros() / 2.0) / rules.warmUpMicros();
            double capacityShare = rules.coldCapacityShare() * (1 - warmUpShare) + warmUpShare;
            double maxCalls =
                    rules.overloadMultiple() * capacityShare * TOTAL_LIMIT * rules.overloadWindowMicros() / SECOND;
            assertTrue(
                    served() + rejected() - callsBefore <= maxCalls,
                    "after " + since + " us: " + (served() + rejected() - callsBefore) + " of " + maxCalls);
        }
    }

    /**
     * A limit counts calls, and a call carries several messages. Relays whose shares are counted in messages exceed the
     * limit permanently (736 to 808 calls of 900 served, 205 to 336 rejected). With equal shares of calls, relays with
     * little traffic spend theirs on calls of one message, and 1,850 to 1,930 of 2,250 and 2,700 messages are
     * delivered.
     */
    @ParameterizedTest
    @CsvSource({"2.5, 1", "2.5, 2", "3, 1", "3, 2"})
    void sharesOfACallLimitFollowTheFullBatchesThatRelaysNeed(double messagesPerCall, long seed) {
        double limit = 30;
        startBatchRoutes(14, limit, seed);
        simulate(30 * SECOND, limit * messagesPerCall, new SplittableRandom(seed));
        assertTrue(delivered >= 0.95 * nextId, "delivered of " + nextId + ": " + delivered);
        assertTrue(rejected() <= served() / 15, "rejected: " + rejected() + ", served: " + served());
    }

    /** A destination that rejects calls within the fair shares is closed, so the circuit opens. */
    @Test
    void rejectionsWithinTheFairShareOpenTheCircuit() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.fleet(FLEET_SIZE, 1))
                .applyList(PolicyHarness.route("r0", 1, "apart", "east"));
        LimitReport exhausted = new LimitReport(0, 50);
        for (int id = 0; id < 3; id++) {
            relay.accept(id, "quick", 1)
                    .answer(id, AttemptOutcome.OK, 0, new LimitReport(1, 50))
                    .advance(100 * MILLISECOND);
        }
        rejectNext(relay, exhausted);
        assertEquals(List.of(), relay.logged, "a single rejection may be due to other relays that exceed the limit");
        for (int i = 0; i < 4; i++) {
            rejectNext(relay, exhausted);
        }
        assertEquals(List.of("circuit: opened route=r0 cause=rejections"), relay.logged);
    }

    private void rejectNext(PolicyHarness relay, LimitReport report) {
        relay.accept(nextId + 100, "safe", 1);
        nextId++;
        for (int i = 0; i < 200 && relay.unanswered.isEmpty(); i++) {
            relay.advance(100 * MILLISECOND);
        }
        if (!relay.unanswered.isEmpty()) {
            relay.answer(relay.unanswered.get(0).id(), AttemptOutcome.REJECTED, 0, report);
        }
    }
}
