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

/** Plays legal events in random order and checks the service rules on every action. */
class RandomEventsTest {
    /** Outcomes that prove that nothing executed, as the service rules name them. */
    private static final Set<AttemptOutcome> PROOFS =
            Set.of(AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT);

    private static final long MS = PolicyHarness.MILLISECOND;
    private static final long S = PolicyHarness.SECOND;
    private static final AttemptOutcome[] RESULTS = {
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
        Checker checker = new Checker(seed);
        for (int i = 0; i < 4_000; i++) {
            checker.step();
        }
        checker.drain();
        assertTrue(checker.answered > 500, "answered " + checker.answered);
        assertEquals(checker.tracks.size(), checker.answered);
    }

    private static final class Track {
        RequestClass type;
        int destination;
        String key;
        long deadline;
        boolean ended;
        final List<Try> tries = new ArrayList<>();
    }

    private static final class Try {
        String route;
        long at;
        long timeoutAt;
        AttemptOutcome result;
    }

    /** The surroundings of one policy; checks each of its actions against the service rules. */
    private static final class Checker extends NoOpPolicyActions {
        final PolicySettings settings = PolicyHarness.settings(8, 60);
        final DeliveryPolicy policy = new DefaultDeliveryPolicy(settings);
        final Random random;
        final Map<Long, Track> tracks = new HashMap<>();
        final List<long[]> out = new ArrayList<>();
        final List<long[]> timers = new ArrayList<>();
        final Map<String, EndpointEntry> listed = new HashMap<>();
        final Map<String, Long> goneAt = new HashMap<>();
        final Map<String, Long> waitUntil = new HashMap<>();
        final Map<String, Long> restUntil = new HashMap<>();
        final List<PolicyEvent> events = new ArrayList<>();
        long now = 5 * S;
        long nextId;
        int answered;

        Checker(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 9; i++) {
                int destination = i / 3;
                String kind = settings.kinds().get(destination).name();
                put(PolicyHarness.route("r" + i, destination, kind, i % 2 == 0 ? "east" : "west"));
            }
            events.add(new EndpointListReceived(EndpointListKind.CACHED, 1, List.copyOf(listed.values())));
            play();
        }

        void put(EndpointEntry entry) {
            listed.put(entry.route(), entry);
            if (entry.availability() == Availability.LISTED) {
                goneAt.remove(entry.route());
            } else {
                goneAt.putIfAbsent(entry.route(), now);
            }
        }

        void step() {
            now += random.nextInt(60) * MS;
            if (random.nextInt(3) > 0) {
                accept();
            }
            timeOutDue();
            for (int i = random.nextInt(4); i > 0 && !out.isEmpty(); i--) {
                answer(out.remove(random.nextInt(out.size())), RESULTS[random.nextInt(RESULTS.length)]);
            }
            if (random.nextInt(200) == 0) {
                changeList();
            }
            play();
        }

        void accept() {
            Track track = new Track();
            track.type = settings.classes().get(random.nextInt(4));
            track.destination = random.nextInt(4);
            track.key = track.type.ordered() ? "k" + random.nextInt(5) : null;
            track.deadline = now + track.type.deadlineMicros() / (1 + random.nextInt(4));
            tracks.put(nextId, track);
            events.add(new MessageAccepted(
                    nextId++, track.type.name(), null, track.key, track.deadline, track.destination));
        }

        void changeList() {
            String name = "r" + random.nextInt(9);
            EndpointEntry old = listed.get(name);
            Availability next = Availability.values()[random.nextInt(3)];
            put(new EndpointEntry(name, old.destination(), old.kind(), old.zone(), next, 0));
            events.add(new EndpointListReceived(EndpointListKind.DELTA, 2, List.of(listed.get(name))));
        }

        void timeOutDue() {
            for (long[] attempt : List.copyOf(out)) {
                if (tracks.get(attempt[0]).tries.get((int) attempt[1]).timeoutAt <= now) {
                    out.remove(attempt);
                    answer(attempt, AttemptOutcome.TIMEOUT);
                }
            }
        }

        void answer(long[] attempt, AttemptOutcome result) {
            Track track = tracks.get(attempt[0]);
            Try sent = track.tries.get((int) attempt[1]);
            sent.result = result;
            boolean closing = result == AttemptOutcome.OK && !track.ended;
            if (closing) {
                track.ended = true;
                answered++;
            }
            long told = result == AttemptOutcome.REJECTED && random.nextBoolean() ? random.nextInt(1500) * MS : 0;
            if (told > 0) {
                waitUntil.merge(group(sent.route), now + told, Math::max);
            }
            if (track.key != null
                    && !PROOFS.contains(result)
                    && result != AttemptOutcome.OK
                    && result != AttemptOutcome.ERROR) {
                restUntil.put(track.key, now + settings.rules().orderingPauseMicros());
            }
            events.add(new AttemptCompleted(
                    attempt[0],
                    (int) attempt[1],
                    sent.route,
                    result,
                    track.ended,
                    told,
                    now - sent.at,
                    LimitReport.NONE));
        }

        void play() {
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
            tracks.forEach((id, track) ->
                    assertTrue(track.ended || now <= track.deadline + 80 * MS, "request " + id + " is overdue"));
        }

        void drain() {
            for (long end = now + 40 * S; now < end; now += 5 * MS) {
                timeOutDue();
                play();
            }
        }

        String group(String route) {
            EndpointEntry entry = listed.get(route);
            return entry.kind().equals("apart") ? route : "d" + entry.destination();
        }

        @Override
        public void send(long id, String route, long timeout, long leaveWithin) {
            Track track = tracks.get(id);
            EndpointEntry entry = listed.get(route);
            assertFalse(track.ended, "sent after its end");
            assertEquals(track.destination, entry.destination());
            assertTrue(track.tries.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(goneAt.getOrDefault(route, now) + settings.rules().drainGraceMicros() >= now, "drain");
            assertTrue(waitUntil.getOrDefault(group(route), now) <= now, "wait");
            checkRepeat(track, entry);
            checkOrder(id, track);
            Try sent = new Try();
            sent.route = route;
            sent.at = now;
            sent.timeoutAt = timeout == 0 ? track.deadline : Math.min(track.deadline, now + timeout);
            track.tries.add(sent);
            out.add(new long[] {id, track.tries.size() - 1});
        }

        void checkRepeat(Track track, EndpointEntry entry) {
            for (Try earlier : track.tries) {
                assertTrue(earlier.result != null, "two attempts out");
                if (PROOFS.contains(earlier.result)) {
                    continue;
                }
                assertTrue(track.type.idempotency() != Idempotency.NON_IDEMPOTENT, "once sent again");
                if (track.type.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
                    assertEquals(listed.get(earlier.route).zone(), entry.zone(), "outside the key's zone");
                    assertTrue(now <= earlier.at + track.type.keyWindowMicros(), "outside the key's window");
                }
            }
        }

        void checkOrder(long id, Track track) {
            if (track.key == null) {
                return;
            }
            for (Map.Entry<Long, Track> other : tracks.entrySet()) {
                Track earlier = other.getValue();
                if (other.getKey() < id && track.key.equals(earlier.key)) {
                    assertTrue(earlier.ended && earlier.tries.stream().allMatch(t -> t.result != null), "order");
                }
            }
            if (track.tries.isEmpty()) {
                assertTrue(restUntil.getOrDefault(track.key, now) <= now, "order pause");
            }
        }

        void end(long id, boolean refusal) {
            Track track = tracks.get(id);
            assertFalse(track.ended, "two final answers");
            track.ended = true;
            answered++;
            boolean mayHaveRun = track.tries.stream().anyMatch(t -> t.result == null || !PROOFS.contains(t.result));
            if (refusal && mayHaveRun) {
                assertEquals(Idempotency.IDEMPOTENT, track.type.idempotency(), "refused though it may have run");
            }
        }

        @Override
        public void reject(long id, long retryIn) {
            end(id, true);
        }

        @Override
        public void fail(long id) {
            end(id, false);
        }

        @Override
        public void cancel(long id, int attempt) {
            for (long[] sent : List.copyOf(out)) {
                if (sent[0] == id && sent[1] == attempt) {
                    out.remove(sent);
                    answer(sent, AttemptOutcome.CANCELLED);
                }
            }
        }

        @Override
        public void setTimer(long name, long delay) {
            timers.add(new long[] {now + Math.max(1, delay), name});
        }

        @Override
        public void probe(String route) {
            AttemptOutcome result = RESULTS[random.nextInt(RESULTS.length)];
            events.add(new ProbeCompleted(route, result, 0, MS, LimitReport.NONE));
        }
    }
}
