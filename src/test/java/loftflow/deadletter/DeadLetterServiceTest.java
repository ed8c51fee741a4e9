package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.engine.WriteAheadLog;
import loftflow.policy.DefaultDeliveryPolicy;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The desk between a real engine, module and store, in a time that the test moves. */
class DeadLetterServiceTest {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 30 * SECOND;

    private record Due(long at, long order, Runnable task) {}

    @TempDir
    Path folder;

    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final List<String> sent = new ArrayList<>();
    private final List<Long> sentAt = new ArrayList<>();
    private final Set<Long> done = new HashSet<>();
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private BiFunction<String, Message.Attempt, AttemptOutcome> fate = (route, attempt) -> AttemptOutcome.OK;
    private long now = 1_000_000 * SECOND;
    private long order;
    private boolean storeFails;
    private boolean storeHolds;
    private DeadLetterStore shelf;
    private DeliveryEngine engine;
    private DeadLetterService desk;

    @BeforeEach
    void prepare() {
        shelf = SqliteDeadLetterStore.open(folder, 1 << 30);
        PolicySettings settings = new PolicySettings(
                3,
                0,
                1,
                "b0",
                List.of(
                        new RequestClass(
                                "keyed",
                                Idempotency.IDEMPOTENT_BY_KEY,
                                KeyScope.ZONE,
                                WINDOW,
                                SECOND,
                                2 * SECOND,
                                1,
                                0.5,
                                false),
                        new RequestClass(
                                "unsafe",
                                Idempotency.NON_IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND,
                                2 * SECOND,
                                5,
                                0.3,
                                false)),
                List.of(),
                List.of(new DestinationKind("k", false, 1)),
                List.of(),
                new RelayLimits(8, 50, 12, true, false, false, false, true, SECOND),
                new ServiceRules(0, SECOND / 2, 2.5, 2 * SECOND, 0.2, 5 * SECOND, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
        engine = new DeliveryEngine(
                (micros, task) -> {
                    boolean[] off = new boolean[1];
                    queue.add(new Due(now + micros, order++, () -> {
                        if (!off[0]) {
                            task.run();
                        }
                    }));
                    return () -> off[0] = true;
                },
                () -> now,
                settings,
                1_000,
                new Memory(),
                DefaultDeliveryPolicy::new);
        Map<String, RedrivePolicy.Shelved> shelves = Map.of(
                "keyed",
                new RedrivePolicy.Shelved(settings.classes().get(0), 3_600 * SECOND),
                "unsafe",
                new RedrivePolicy.Shelved(settings.classes().get(1), 3_600 * SECOND));
        desk = new DeadLetterService(
                (micros, task) -> {
                    queue.add(new Due(now + micros, order++, task));
                    return () -> {};
                },
                () -> now,
                engine,
                new Queue(),
                new DeadLetterService.Options(
                        shelves, new RedrivePolicy(SECOND, SECOND), 2, 1 << 30, 1 << 29, 1_000, true, 3_600 * SECOND));
        engine.setDeadLetterSink(desk);
        engine.attach(new Calls(), message -> engine.onCompletionAcknowledged(message));
        engine.start(EndpointListKind.FULL, 1, List.of(target("r0", "b0"), target("r1", "b1")));
        desk.start();
        pass(SECOND);
    }

    @AfterEach
    void end() {
        shelf.close();
    }

    private static Endpoint target(String route, String building) {
        return new Endpoint(new EndpointEntry(route, 7, "k", building, Availability.LISTED, 0), null);
    }

    private void pass(long span) {
        long end = now + span;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Due due = queue.poll();
            now = Math.max(now, due.at());
            due.task().run();
        }
        now = end;
    }

    private final class Queue implements DeadLetterStoreQueue {
        @Override
        public <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed) {
            Runnable work = () -> {
                if (storeFails) {
                    failed.run();
                } else {
                    then.accept(task.apply(shelf));
                }
            };
            if (storeHolds) {
                held.add(work);
            } else {
                queue.add(new Due(now + 100, order++, work));
            }
            return true;
        }
    }

    private final class Calls implements UpstreamClient {
        @Override
        public void onEndpointList(EndpointListKind kind, List<Endpoint> targets) {}

        @Override
        public void send(String route, List<OutboundAttempt> outgoing) {
            for (OutboundAttempt o : outgoing) {
                sent.add(o.attempt().message().content().messageId() + "@" + route);
                sentAt.add(now);
                AttemptOutcome result = fate.apply(route, o.attempt());
                long after = result == AttemptOutcome.TIMEOUT ? o.timeoutMicros() : 10_000;
                queue.add(new Due(
                        now + after,
                        order++,
                        () -> engine.onAttemptCompleted(
                                o.attempt(), result, result == AttemptOutcome.OK, 0, LimitReport.NONE)));
            }
        }

        @Override
        public void cancel(Message.Attempt attempt) {}

        @Override
        public void probe(String route) {}

        @Override
        public void closeIdleConnections(String route) {}
    }

    /** A journal that holds what it is told and remembers what is done. */
    private final class Memory implements WriteAheadLog {
        @Override
        public long nextSequenceNumber() {
            return 1;
        }

        @Override
        public List<Message> openMessages() {
            return List.of();
        }

        @Override
        public boolean recordAccepted(Message message) {
            return true;
        }

        @Override
        public boolean recordAttempt(Message.Attempt attempt) {
            return true;
        }

        @Override
        public void recordOutcome(Message.Attempt attempt) {}

        @Override
        public void recordCompletion(Message message) {}

        @Override
        public void recordDone(Message message) {
            done.add(message.number());
        }
    }

    private void handIn(String id, String type) {
        handIn(id, type, null);
    }

    private void handIn(String id, String type, String line) {
        engine.accept(
                new Message.Content(id, type, null, "key-" + id, now + 2 * SECOND, 7, new byte[1], null, line),
                now,
                new Message.ClientReply() {
                    @Override
                    public void accepted() {}

                    @Override
                    public void rejected(long retryIn) {
                        throw new AssertionError("refused");
                    }

                    @Override
                    public void failed() {
                        throw new AssertionError("failed");
                    }
                });
    }

    private DeadLetter entry(String id) {
        return shelf.list(DeadLetterStore.Filter.ALL, 0, 100, false).stream()
                .filter(e -> e.content().messageId().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void journalForgetsOnlyWhatTheStoreHas() {
        fate = (route, attempt) -> AttemptOutcome.RESET;
        storeFails = true;
        handIn("m1", "unsafe");
        pass(5 * SECOND);
        assertFalse(done.contains(1L), "the store does not have it yet");
        storeFails = false;
        pass(SECOND);
        assertTrue(done.contains(1L));
        assertEquals(ExecutionCertainty.MAYBE, entry("m1").ran());
    }

    @Test
    void keyedGoesOnlyToTheBuildingThatMayKnowItsKey() {
        fate = (route, attempt) -> route.equals("r0") ? AttemptOutcome.RESET : AttemptOutcome.OK;
        for (int i = 0; i < 6; i++) {
            handIn("k" + i, "keyed");
            pass(3 * SECOND);
        }
        pass(60 * SECOND);
        Set<String> first = new HashSet<>();
        for (String one : sent) {
            String id = one.substring(0, one.indexOf('@'));
            if (one.endsWith("@r0")) {
                first.add(id);
            }
            assertTrue(!one.endsWith("@r1") || !first.contains(id), "sent in another building: " + sent);
        }
        assertFalse(first.isEmpty(), "some went to r0 first: " + sent);
        for (String id : first) {
            assertEquals(DeadLetter.State.KEPT, entry(id).state());
            assertTrue(desk.decide(entry(id)) instanceof RedrivePolicy.AfterWord, "its window is over now");
        }
    }

    @Test
    void windowThatClosesBeforeItsTurnComesSendsNothing() {
        fate = (route, attempt) -> AttemptOutcome.RESET;
        handIn("k1", "keyed");
        pass(3 * SECOND);
        desk.pause(true);
        pass(10 * SECOND);
        DeadLetter kept = entry("k1");
        assertEquals(DeadLetter.State.KEPT, kept.state());
        assertTrue(desk.decide(kept) instanceof RedrivePolicy.Now, "open at decision: " + desk.decide(kept));
        int before = sent.size();
        storeHolds = true;
        List<RedrivePolicy.Verdict> told = new ArrayList<>();
        desk.tryNow(kept, told::add);
        // The store has its turn only when the window is over.
        now += WINDOW;
        storeHolds = false;
        held.poll().run();
        pass(5 * SECOND);
        assertEquals(before, sent.size());
        assertTrue(told.get(0) instanceof RedrivePolicy.AfterWord, told.toString());
        assertEquals(DeadLetter.State.KEPT, entry("k1").state());
        assertEquals(DeadLetter.NEVER_DUE, entry("k1").due());
    }

    @Test
    void nothingIsSentAgainWhileTheRelayDrains() {
        fate = (route, attempt) -> AttemptOutcome.REJECTED;
        handIn("m1", "unsafe");
        pass(2_500_000);
        engine.quiesce();
        fate = (route, attempt) -> AttemptOutcome.OK;
        int before = sent.size();
        pass(40 * SECOND);
        assertEquals(before, sent.size());
        assertEquals(ExecutionCertainty.NEVER, entry("m1").ran());
    }

    /** The module orders it by that among what is sent again, and beside what is new. */
    @Test
    void messageThatIsSentAgainIsOfItsLine() {
        List<String> lines = new ArrayList<>();
        fate = (route, attempt) -> {
            lines.add(
                    attempt.message().deadLetterId() == 0
                            ? "new"
                            : attempt.message().content().orderingKey());
            return attempt.message().deadLetterId() == 0 ? AttemptOutcome.NOT_SENT : AttemptOutcome.OK;
        };
        handIn("m1", "unsafe", "track-4");
        pass(60 * SECOND);
        assertEquals(DeadLetter.State.DELIVERED, entry("m1").state());
        assertEquals("track-4", lines.get(lines.size() - 1));
    }

    @Test
    void messageThatThePartnerNeverTakesStaysKeptAndItsPausesGrow() {
        fate = (route, attempt) -> AttemptOutcome.NOT_SENT; // as 413 is taken
        handIn("m1", "unsafe");
        pass(60 * SECOND);
        assertEquals(DeadLetter.State.KEPT, entry("m1").state());
        int first = entry("m1").resends();
        pass(240 * SECOND);
        assertTrue(
                first >= 1 && entry("m1").resends() > first && entry("m1").resends() < 14,
                first + " then " + entry("m1").resends());
    }

    @Test
    void backlogGoesOutOneAtATimeAtItsPace() {
        long kept = now;
        for (int i = 0; i < 40; i++) {
            shelf.put(new DeadLetter(
                    0,
                    new Message.Content("m" + i, "unsafe", null, null, kept + i, 7, new byte[1]),
                    kept,
                    "",
                    "failed",
                    DeadLetter.State.KEPT,
                    kept,
                    null,
                    0,
                    List.of()));
        }
        pass(12 * SECOND);
        assertTrue(sent.size() >= 20 && sent.size() <= 26, "two a second for 12 s: " + sent.size());
        for (int i = 1; i < sentAt.size(); i++) {
            assertTrue(sentAt.get(i) - sentAt.get(i - 1) >= SECOND / 2, "no closer than the pace");
        }
        pass(20 * SECOND);
        assertEquals(40, new HashSet<>(sent).size());
        assertEquals(40, sent.size());
    }

    @Test
    void recalledResendIsNotTriedAnyMore() {
        fate = (route, attempt) -> AttemptOutcome.RESET;
        handIn("m1", "unsafe");
        pass(3 * SECOND);
        DeadLetter kept = entry("m1");
        shelf.word(kept.id(), new DeadLetter.Word("clerk", "not in their books", 9, now), now);
        fate = (route, attempt) -> AttemptOutcome.REJECTED;
        pass(2 * SECOND);
        assertEquals(DeadLetter.State.RESENDING, entry("m1").state());
        Message first = new Message(1, kept.content());
        Message.Attempt late = first.addAttempt(
                kept.tries().get(0).route(), kept.tries().get(0).sentAt());
        engine.onLateDelivery(late);
        pass(SECOND);
        int before = sent.size();
        fate = (route, attempt) -> AttemptOutcome.OK;
        pass(60 * SECOND);
        assertEquals(DeadLetter.State.DELIVERED, entry("m1").state());
        assertEquals(before, sent.size());
    }

    @Test
    void windowIsNotTrustedWhereTheClockWasSetBackWhileTheRelayWasDown() {
        long ahead = now + 20 * SECOND;
        shelf.put(new DeadLetter(
                0,
                new Message.Content("k1", "keyed", null, "k", ahead, 7, new byte[1]),
                ahead,
                "timeout",
                "failed",
                DeadLetter.State.KEPT,
                DeadLetter.NEVER_DUE,
                null,
                0,
                List.of(new DeadLetter.Try("r0", "b0", ahead - SECOND, AttemptOutcome.TIMEOUT))));
        DeadLetterService next = new DeadLetterService(
                (micros, task) -> {
                    queue.add(new Due(now + micros, order++, task));
                    return () -> {};
                },
                () -> now,
                engine,
                new Queue(),
                new DeadLetterService.Options(
                        Map.of(
                                "keyed",
                                new RedrivePolicy.Shelved(
                                        new RequestClass(
                                                "keyed",
                                                Idempotency.IDEMPOTENT_BY_KEY,
                                                KeyScope.ZONE,
                                                WINDOW,
                                                SECOND,
                                                2 * SECOND,
                                                1,
                                                0.5,
                                                false),
                                        3_600 * SECOND)),
                        new RedrivePolicy(SECOND, SECOND),
                        2,
                        1 << 30,
                        1 << 29,
                        1_000,
                        true,
                        3_600 * SECOND));
        next.start();
        pass(25 * SECOND);
        RedrivePolicy.Verdict verdict = next.decide(entry("k1"));
        assertTrue(
                verdict instanceof RedrivePolicy.AfterWord after && after.why().contains("restart"),
                verdict.toString());
    }

    @Test
    void entryWhoseEndTheStoreHasNotTakenIsNotSentBesideItself() {
        fate = (route, attempt) -> AttemptOutcome.REJECTED;
        handIn("m1", "unsafe");
        pass(4 * SECOND);
        assertEquals(DeadLetter.State.RESENDING, entry("m1").state());
        // As after a restart: the store says kept, and a resend of it is out.
        shelf.move(entry("m1").id(), DeadLetter.State.RESENDING, DeadLetter.State.KEPT, now);
        List<RedrivePolicy.Verdict> told = new ArrayList<>();
        desk.tryNow(entry("m1"), told::add);
        assertTrue(told.get(0) instanceof RedrivePolicy.Later, told.toString());
        assertEquals(DeadLetter.State.KEPT, entry("m1").state());
    }

    private static Message.Content content(String type) {
        return new Message.Content("new", type, null, "key-new", Long.MAX_VALUE, 7, new byte[1]);
    }

    @Test
    void fullStoreRefusesTheClassThatFailsAlone() {
        for (int i = 0; i < 999; i++) {
            shelf.put(new DeadLetter(
                    0,
                    new Message.Content("old" + i, "unsafe", null, null, i, 7, new byte[1]),
                    now,
                    "",
                    "failed",
                    DeadLetter.State.DISCARDED,
                    DeadLetter.NEVER_DUE,
                    null,
                    0,
                    List.of()));
        }
        fate = (route, attempt) -> AttemptOutcome.RESET;
        assertFalse(desk.rejects(content("unsafe")));
        handIn("m1", "unsafe");
        pass(3 * SECOND);
        assertEquals(1_000, shelf.size().entries());
        assertTrue(desk.rejects(content("unsafe")), "the store is full, and this class is what fills it");
        assertFalse(desk.rejects(content("keyed")), "nothing of this class has failed");
        now += 3_600 * SECOND;
        pass(2 * SECOND);
        assertTrue(shelf.size().entries() < 1_000, "what is over goes by age");
        assertFalse(desk.rejects(content("unsafe")), "there is room again, though nothing new was kept");
    }
}
