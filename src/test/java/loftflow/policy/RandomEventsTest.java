package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.TimerFired;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a policy on random valid events and checks the service rules on each of its actions. */
class RandomEventsTest {
    /** Outcomes that prove that a message was not executed, according to the service rules. */
    private static final Set<AttemptOutcome> NOT_EXECUTED =
            Set.of(AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT);

    private static final long MILLISECOND = PolicyHarness.MILLISECOND;
    private static final long SECOND = PolicyHarness.SECOND;
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.OK,
        AttemptOutcome.OK,
        AttemptOutcome.OK,
        AttemptOutcome.OK,
        AttemptOutcome.ERROR,
        AttemptOutcome.REJECTED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.NOT_SENT
    };

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyRuleHoldsUnderRandomEvents(long seed) {
        RuleChecker checker = new RuleChecker(seed);
        for (int i = 0; i < 4_000; i++) {
            checker.runRandomStep();
        }
        checker.runUntilAllMessagesEnd();
        assertTrue(checker.finalAnswers > 500, "final answers: " + checker.finalAnswers);
        assertEquals(checker.messages.size(), checker.finalAnswers);
    }

    private static final class TrackedMessage {
        RequestClass requestClass;
        int destination;
        String key;
        long deadline;
        boolean closed;
        final List<TrackedAttempt> attempts = new ArrayList<>();
    }

    private static final class TrackedAttempt {
        String route;
        long sentAt;
        long timeoutAt;
        AttemptOutcome outcome;
    }

    /** The environment of one policy; checks each of its actions against the service rules. */
    private static final class RuleChecker extends NoOpPolicyActions {
        final PolicySettings settings = PolicyHarness.settings(8, 60);
        final DeliveryPolicy policy = new DefaultDeliveryPolicy(settings);
        final Random random;
        final Map<Long, TrackedMessage> messages = new HashMap<>();
        /** Attempts in flight, each as the id of its message and its index. */
        final List<long[]> inFlight = new ArrayList<>();
        /** Timers, each as the time at which it fires and its id. */
        final List<long[]> timers = new ArrayList<>();

        final Map<String, EndpointEntry> entries = new HashMap<>();
        final Map<String, Long> unlistedAt = new HashMap<>();
        final Map<String, Long> retryNotBefore = new HashMap<>();
        final Map<String, Long> keyPausedUntil = new HashMap<>();
        final List<PolicyEvent> events = new ArrayList<>();
        long now = 5 * SECOND;
        long nextId;
        int finalAnswers;

        RuleChecker(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 9; i++) {
                int destination = i / 3;
                String kind = settings.kinds().get(destination).name();
                setEntry(PolicyHarness.route("r" + i, destination, kind, i % 2 == 0 ? "east" : "west"));
            }
            events.add(new EndpointListReceived(EndpointListKind.CACHED, 1, List.copyOf(entries.values())));
            runRound();
        }

        void setEntry(EndpointEntry entry) {
            entries.put(entry.route(), entry);
            if (entry.availability() == Availability.LISTED) {
                unlistedAt.remove(entry.route());
            } else {
                unlistedAt.putIfAbsent(entry.route(), now);
            }
        }

        void runRandomStep() {
            now += random.nextInt(60) * MILLISECOND;
            if (random.nextInt(3) > 0) {
                accept();
            }
            timeOutOverdueAttempts();
            for (int i = random.nextInt(4); i > 0 && !inFlight.isEmpty(); i--) {
                complete(inFlight.remove(random.nextInt(inFlight.size())), OUTCOMES[random.nextInt(OUTCOMES.length)]);
            }
            if (random.nextInt(200) == 0) {
                changeList();
            }
            runRound();
        }

        void accept() {
            TrackedMessage message = new TrackedMessage();
            message.requestClass = settings.classes().get(random.nextInt(4));
            message.destination = random.nextInt(4);
            message.key = message.requestClass.ordered() ? "k" + random.nextInt(5) : null;
            message.deadline = now + message.requestClass.deadlineMicros() / (1 + random.nextInt(4));
            messages.put(nextId, message);
            events.add(new MessageAccepted(
                    nextId++, message.requestClass.name(), null, message.key, message.deadline, message.destination));
        }

        void changeList() {
            String name = "r" + random.nextInt(9);
            EndpointEntry current = entries.get(name);
            Availability availability = Availability.values()[random.nextInt(3)];
            setEntry(new EndpointEntry(name, current.destination(), current.kind(), current.zone(), availability, 0));
            events.add(new EndpointListReceived(EndpointListKind.DELTA, 2, List.of(entries.get(name))));
        }

        void timeOutOverdueAttempts() {
            for (long[] attemptId : List.copyOf(inFlight)) {
                if (messages.get(attemptId[0]).attempts.get((int) attemptId[1]).timeoutAt <= now) {
                    inFlight.remove(attemptId);
                    complete(attemptId, AttemptOutcome.TIMEOUT);
                }
            }
        }

        void complete(long[] attemptId, AttemptOutcome outcome) {
            TrackedMessage message = messages.get(attemptId[0]);
            TrackedAttempt attempt = message.attempts.get((int) attemptId[1]);
            attempt.outcome = outcome;
            boolean closing = outcome == AttemptOutcome.OK && !message.closed;
            if (closing) {
                message.closed = true;
                finalAnswers++;
            }
            long retryAfter =
                    outcome == AttemptOutcome.REJECTED && random.nextBoolean() ? random.nextInt(1500) * MILLISECOND : 0;
            if (retryAfter > 0) {
                retryNotBefore.merge(limitGroup(attempt.route), now + retryAfter, Math::max);
            }
            if (message.key != null
                    && !NOT_EXECUTED.contains(outcome)
                    && outcome != AttemptOutcome.OK
                    && outcome != AttemptOutcome.ERROR) {
                keyPausedUntil.put(message.key, now + settings.rules().orderingPauseMicros());
            }
            events.add(new AttemptCompleted(
                    attemptId[0],
                    (int) attemptId[1],
                    attempt.route,
                    outcome,
                    message.closed,
                    retryAfter,
                    now - attempt.sentAt,
                    LimitReport.NONE));
        }

        void runRound() {
            for (long[] timer : List.copyOf(timers)) {
                if (timer[0] <= now) {
                    timers.remove(timer);
                    events.add(new TimerFired(timer[1]));
                }
            }
            if (!events.isEmpty()) {
                List<PolicyEvent> round = List.copyOf(events);
                events.clear();
                policy.onRound(now, round, this);
            }
            messages.forEach((id, message) -> assertTrue(
                    message.closed || now <= message.deadline + 80 * MILLISECOND,
                    "no final answer of message " + id + " by its deadline"));
        }

        void runUntilAllMessagesEnd() {
            for (long end = now + 40 * SECOND; now < end; now += 5 * MILLISECOND) {
                timeOutOverdueAttempts();
                runRound();
            }
        }

        String limitGroup(String route) {
            EndpointEntry entry = entries.get(route);
            return entry.kind().equals("apart") ? route : "d" + entry.destination();
        }

        @Override
        public void send(long id, String route, long timeoutMicros, long sendTimeoutMicros, boolean mayShareCall) {
            TrackedMessage message = messages.get(id);
            EndpointEntry entry = entries.get(route);
            assertFalse(message.closed, "sent after its final answer");
            assertEquals(message.destination, entry.destination());
            assertTrue(message.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(
                    unlistedAt.getOrDefault(route, now) + settings.rules().drainGraceMicros() >= now,
                    "sent after the drain grace period");
            assertTrue(
                    retryNotBefore.getOrDefault(limitGroup(route), now) <= now, "sent before the end of a Retry-After");
            checkRepeat(message, entry);
            checkOrder(id, message);
            TrackedAttempt attempt = new TrackedAttempt();
            attempt.route = route;
            attempt.sentAt = now;
            attempt.timeoutAt = timeoutMicros == 0 ? message.deadline : Math.min(message.deadline, now + timeoutMicros);
            message.attempts.add(attempt);
            inFlight.add(new long[] {id, message.attempts.size() - 1});
        }

        void checkRepeat(TrackedMessage message, EndpointEntry entry) {
            for (TrackedAttempt earlier : message.attempts) {
                assertTrue(earlier.outcome != null, "two attempts in flight");
                if (NOT_EXECUTED.contains(earlier.outcome)) {
                    continue;
                }
                assertTrue(
                        message.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "non-idempotent message repeated");
                if (message.requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                    assertEquals(entries.get(earlier.route).zone(), entry.zone(), "outside the zone of the key");
                    assertTrue(
                            now <= earlier.sentAt + message.requestClass.keyWindowMicros(), "outside the key window");
                }
            }
        }

        void checkOrder(long id, TrackedMessage message) {
            if (message.key == null) {
                return;
            }
            for (Map.Entry<Long, TrackedMessage> other : messages.entrySet()) {
                TrackedMessage earlier = other.getValue();
                if (other.getKey() < id && message.key.equals(earlier.key)) {
                    assertTrue(
                            earlier.closed
                                    && earlier.attempts.stream()
                                            .allMatch(earlierAttempt -> earlierAttempt.outcome != null),
                            "sent before an earlier message of its key was settled");
                }
            }
            if (message.attempts.isEmpty()) {
                assertTrue(keyPausedUntil.getOrDefault(message.key, now) <= now, "sent during the pause of its key");
            }
        }

        void end(long id, boolean isRejection) {
            TrackedMessage message = messages.get(id);
            assertFalse(message.closed, "two final answers");
            message.closed = true;
            finalAnswers++;
            boolean mayHaveExecuted = message.attempts.stream()
                    .anyMatch(earlierAttempt ->
                            earlierAttempt.outcome == null || !NOT_EXECUTED.contains(earlierAttempt.outcome));
            if (isRejection && mayHaveExecuted) {
                assertEquals(
                        Idempotency.IDEMPOTENT,
                        message.requestClass.idempotency(),
                        "rejected although it may have executed");
            }
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            end(id, true);
        }

        @Override
        public void fail(long id) {
            end(id, false);
        }

        @Override
        public void cancel(long id, int attempt) {
            for (long[] attemptId : List.copyOf(inFlight)) {
                if (attemptId[0] == id && attemptId[1] == attempt) {
                    inFlight.remove(attemptId);
                    complete(attemptId, AttemptOutcome.CANCELLED);
                }
            }
        }

        @Override
        public void setTimer(long timer, long delayMicros) {
            timers.add(new long[] {now + Math.max(1, delayMicros), timer});
        }

        @Override
        public void probe(String route) {
            AttemptOutcome outcome = OUTCOMES[random.nextInt(OUTCOMES.length)];
            events.add(new ProbeCompleted(route, outcome, 0, MILLISECOND, LimitReport.NONE));
        }
    }
}
