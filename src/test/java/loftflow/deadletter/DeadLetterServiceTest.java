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

/** Tests the service with the real engine, decision module and store in virtual time. */
class DeadLetterServiceTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long KEY_WINDOW_MICROS = 30 * SECOND_MICROS;

    private record ScheduledTask(long atMicros, long order, Runnable task) {}

    @TempDir
    Path folder;

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMicros).thenComparingLong(ScheduledTask::order));
    private final List<String> sent = new ArrayList<>();
    private final List<Long> sentAtMicros = new ArrayList<>();
    private final Set<Long> doneNumbers = new HashSet<>();
    private final ArrayDeque<Runnable> blockedTasks = new ArrayDeque<>();
    private BiFunction<String, Message.Attempt, AttemptOutcome> outcomes = (route, attempt) -> AttemptOutcome.OK;
    private long nowMicros = 1_000_000 * SECOND_MICROS;
    private long order;
    private boolean isStoreFailing;
    private boolean isStoreBlocked;
    private DeadLetterStore store;
    private DeliveryEngine engine;
    private DeadLetterService service;

    @BeforeEach
    void prepare() {
        store = SqliteDeadLetterStore.open(folder, 1 << 30);
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
                                KEY_WINDOW_MICROS,
                                SECOND_MICROS,
                                2 * SECOND_MICROS,
                                1,
                                0.5,
                                false),
                        new RequestClass(
                                "unsafe",
                                Idempotency.NON_IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND_MICROS,
                                2 * SECOND_MICROS,
                                5,
                                0.3,
                                false)),
                List.of(),
                List.of(new DestinationKind("k", false, 1)),
                List.of(),
                new RelayLimits(8, 50, 12, true, false, false, false, true, SECOND_MICROS),
                new ServiceRules(0, SECOND_MICROS / 2, 2.5, 2 * SECOND_MICROS, 0.2, 5 * SECOND_MICROS, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
        engine = new DeliveryEngine(
                (micros, task) -> {
                    boolean[] isCancelled = new boolean[1];
                    queue.add(new ScheduledTask(nowMicros + micros, order++, () -> {
                        if (!isCancelled[0]) {
                            task.run();
                        }
                    }));
                    return () -> isCancelled[0] = true;
                },
                () -> nowMicros,
                settings,
                1_000,
                new InMemoryLog(),
                DefaultDeliveryPolicy::new);
        Map<String, RedriveClass> redriveClasses = Map.of(
                "keyed",
                new RedriveClass(settings.classes().get(0), 3_600 * SECOND_MICROS),
                "unsafe",
                new RedriveClass(settings.classes().get(1), 3_600 * SECOND_MICROS));
        service = new DeadLetterService(
                (micros, task) -> {
                    queue.add(new ScheduledTask(nowMicros + micros, order++, task));
                    return () -> {};
                },
                () -> nowMicros,
                engine,
                new VirtualStoreQueue(),
                new DeadLetterService.Options(
                        redriveClasses,
                        new RedrivePolicy(SECOND_MICROS, SECOND_MICROS),
                        2,
                        1 << 30,
                        1 << 29,
                        1_000,
                        true,
                        3_600 * SECOND_MICROS));
        engine.setDeadLetterSink(service);
        engine.attach(new FakeUpstream(), message -> engine.onCompletionAcknowledged(message));
        engine.start(EndpointListKind.FULL, 1, List.of(endpoint("r0", "b0"), endpoint("r1", "b1")));
        service.start();
        advance(SECOND_MICROS);
    }

    @AfterEach
    void closeStore() {
        store.close();
    }

    private static Endpoint endpoint(String route, String zone) {
        return new Endpoint(new EndpointEntry(route, 7, "k", zone, Availability.LISTED, 0), null);
    }

    private void advance(long durationMicros) {
        long endMicros = nowMicros + durationMicros;
        while (!queue.isEmpty() && queue.peek().atMicros() <= endMicros) {
            ScheduledTask due = queue.poll();
            nowMicros = Math.max(nowMicros, due.atMicros());
            due.task().run();
        }
        nowMicros = endMicros;
    }

    private final class VirtualStoreQueue implements DeadLetterStoreQueue {
        @Override
        public <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> onResult, Runnable onFailure) {
            Runnable work = () -> {
                if (isStoreFailing) {
                    onFailure.run();
                } else {
                    onResult.accept(task.apply(store));
                }
            };
            if (isStoreBlocked) {
                blockedTasks.add(work);
            } else {
                queue.add(new ScheduledTask(nowMicros + 100, order++, work));
            }
            return true;
        }
    }

    private final class FakeUpstream implements UpstreamClient {
        @Override
        public void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {}

        @Override
        public void send(String route, List<OutboundAttempt> outgoing) {
            for (OutboundAttempt outboundAttempt : outgoing) {
                sent.add(outboundAttempt.attempt().message().content().messageId() + "@" + route);
                sentAtMicros.add(nowMicros);
                AttemptOutcome result = outcomes.apply(route, outboundAttempt.attempt());
                long delayMicros = result == AttemptOutcome.TIMEOUT ? outboundAttempt.timeoutMicros() : 10_000;
                queue.add(new ScheduledTask(
                        nowMicros + delayMicros,
                        order++,
                        () -> engine.onAttemptCompleted(
                                outboundAttempt.attempt(), result, result == AttemptOutcome.OK, 0, LimitReport.NONE)));
            }
        }

        @Override
        public void cancel(Message.Attempt attempt) {}

        @Override
        public void probe(String route) {}

        @Override
        public void closeIdleConnections(String route) {}
    }

    /** A journal in memory that records which messages are done. */
    private final class InMemoryLog implements WriteAheadLog {
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
        public boolean recordReopened(Message message) {
            return true;
        }

        @Override
        public boolean recordAttempt(Message.Attempt attempt) {
            return true;
        }

        @Override
        public void recordOutcome(Message.Attempt attempt) {}

        @Override
        public boolean hasUnwrittenRecords() {
            return false;
        }

        @Override
        public boolean recordCompletion(Message message) {
            return true;
        }

        @Override
        public boolean recordDone(Message message) {
            doneNumbers.add(message.number());
            return true;
        }
    }

    private void accept(String id, String requestClass) {
        accept(id, requestClass, null);
    }

    private void accept(String id, String requestClass, String orderingKey) {
        engine.accept(
                new Message.Content(
                        id,
                        requestClass,
                        null,
                        "key-" + id,
                        nowMicros + 2 * SECOND_MICROS,
                        7,
                        new byte[1],
                        null,
                        orderingKey),
                nowMicros,
                new Message.ClientReply() {
                    @Override
                    public void accepted() {}

                    @Override
                    public void rejected(long retryAfterMicros) {
                        throw new AssertionError("message was rejected");
                    }

                    @Override
                    public void failed() {
                        throw new AssertionError("message failed");
                    }
                });
    }

    private DeadLetter deadLetter(String id) {
        return store.list(DeadLetterStore.Filter.ALL, 0, 100, false).stream()
                .filter(deadLetter -> deadLetter.content().messageId().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void journalRetainsMessageUntilItsDeadLetterIsStored() {
        outcomes = (route, attempt) -> AttemptOutcome.RESET;
        isStoreFailing = true;
        accept("m1", "unsafe");
        advance(5 * SECOND_MICROS);
        assertFalse(doneNumbers.contains(1L), "message was removed from the journal before its dead letter was stored");
        isStoreFailing = false;
        advance(SECOND_MICROS);
        assertTrue(doneNumbers.contains(1L));
        assertEquals(ExecutionCertainty.UNKNOWN, deadLetter("m1").certainty());
    }

    @Test
    void keyedMessageIsRedrivenOnlyInTheZoneThatMayHaveStoredItsKey() {
        outcomes = (route, attempt) -> route.equals("r0") ? AttemptOutcome.RESET : AttemptOutcome.OK;
        for (int i = 0; i < 6; i++) {
            accept("k" + i, "keyed");
            advance(3 * SECOND_MICROS);
        }
        advance(60 * SECOND_MICROS);
        Set<String> idsSentToR0 = new HashSet<>();
        for (String idAndRoute : sent) {
            String id = idAndRoute.substring(0, idAndRoute.indexOf('@'));
            if (idAndRoute.endsWith("@r0")) {
                idsSentToR0.add(id);
            }
            assertTrue(!idAndRoute.endsWith("@r1") || !idsSentToR0.contains(id), "redriven in another zone: " + sent);
        }
        assertFalse(idsSentToR0.isEmpty(), "no message was sent to r0: " + sent);
        for (String id : idsSentToR0) {
            assertEquals(DeadLetter.State.STORED, deadLetter(id).state());
            assertTrue(
                    service.decide(deadLetter(id)) instanceof RedrivePolicy.NeedsConfirmation,
                    "no confirmation required after the end of the key window");
        }
    }

    @Test
    void nothingIsSentIfTheKeyWindowClosesWhileTheStoreIsBusy() {
        outcomes = (route, attempt) -> AttemptOutcome.RESET;
        accept("k1", "keyed");
        advance(3 * SECOND_MICROS);
        service.setPaused(true);
        advance(10 * SECOND_MICROS);
        DeadLetter stored = deadLetter("k1");
        assertEquals(DeadLetter.State.STORED, stored.state());
        assertTrue(
                service.decide(stored) instanceof RedrivePolicy.SendNow,
                "key window is already closed at the first decision: " + service.decide(stored));
        int sentBefore = sent.size();
        isStoreBlocked = true;
        List<RedrivePolicy.Decision> decisions = new ArrayList<>();
        service.redrive(stored, decisions::add);
        // The store task runs only after the end of the key window.
        nowMicros += KEY_WINDOW_MICROS;
        isStoreBlocked = false;
        blockedTasks.poll().run();
        advance(5 * SECOND_MICROS);
        assertEquals(sentBefore, sent.size());
        assertTrue(decisions.get(0) instanceof RedrivePolicy.NeedsConfirmation, decisions.toString());
        assertEquals(DeadLetter.State.STORED, deadLetter("k1").state());
        assertEquals(DeadLetter.NEVER_DUE, deadLetter("k1").dueMicros());
    }

    @Test
    void drainingRelayRedrivesNothing() {
        outcomes = (route, attempt) -> AttemptOutcome.REJECTED;
        accept("m1", "unsafe");
        advance(2_500_000);
        engine.quiesce();
        outcomes = (route, attempt) -> AttemptOutcome.OK;
        int sentBefore = sent.size();
        advance(40 * SECOND_MICROS);
        assertEquals(sentBefore, sent.size());
        assertEquals(ExecutionCertainty.NOT_EXECUTED, deadLetter("m1").certainty());
    }

    /** The decision module orders redrives by their ordering key, also relative to new messages. */
    @Test
    void redriveRetainsTheOrderingKey() {
        List<String> orderingKeys = new ArrayList<>();
        outcomes = (route, attempt) -> {
            orderingKeys.add(
                    attempt.message().deadLetterId() == 0
                            ? "new"
                            : attempt.message().content().orderingKey());
            return attempt.message().deadLetterId() == 0 ? AttemptOutcome.NOT_SENT : AttemptOutcome.OK;
        };
        accept("m1", "unsafe", "track-4");
        advance(60 * SECOND_MICROS);
        assertEquals(DeadLetter.State.DELIVERED, deadLetter("m1").state());
        assertEquals("track-4", orderingKeys.get(orderingKeys.size() - 1));
    }

    @Test
    void rejectedMessageStaysStoredAndIsRedrivenAtGrowingIntervals() {
        outcomes = (route, attempt) -> AttemptOutcome.NOT_SENT; // as after HTTP status 413
        accept("m1", "unsafe");
        advance(60 * SECOND_MICROS);
        assertEquals(DeadLetter.State.STORED, deadLetter("m1").state());
        int earlyRedrives = deadLetter("m1").redrives();
        advance(240 * SECOND_MICROS);
        assertTrue(
                earlyRedrives >= 1
                        && deadLetter("m1").redrives() > earlyRedrives
                        && deadLetter("m1").redrives() < 14,
                earlyRedrives + " then " + deadLetter("m1").redrives());
    }

    @Test
    void backlogIsRedrivenOneAtATimeAtTheConfiguredRate() {
        long storedAtMicros = nowMicros;
        for (int i = 0; i < 40; i++) {
            store.put(new DeadLetter(
                    0,
                    new Message.Content("m" + i, "unsafe", null, null, storedAtMicros + i, 7, new byte[1]),
                    storedAtMicros,
                    "",
                    "failed",
                    DeadLetter.State.STORED,
                    storedAtMicros,
                    null,
                    0,
                    List.of()));
        }
        advance(12 * SECOND_MICROS);
        assertTrue(sent.size() >= 20 && sent.size() <= 26, "expected two redrives per second for 12 s: " + sent.size());
        for (int i = 1; i < sentAtMicros.size(); i++) {
            assertTrue(
                    sentAtMicros.get(i) - sentAtMicros.get(i - 1) >= SECOND_MICROS / 2,
                    "interval is shorter than the configured rate allows");
        }
        advance(20 * SECOND_MICROS);
        assertEquals(40, new HashSet<>(sent).size());
        assertEquals(40, sent.size());
    }

    @Test
    void redriveCancelledByProofOfExecutionIsNotRetried() {
        outcomes = (route, attempt) -> AttemptOutcome.RESET;
        accept("m1", "unsafe");
        advance(3 * SECOND_MICROS);
        DeadLetter stored = deadLetter("m1");
        store.recordConfirmation(
                stored.id(), new DeadLetter.Confirmation("clerk", "not in their records", 9, nowMicros), nowMicros);
        outcomes = (route, attempt) -> AttemptOutcome.REJECTED;
        advance(2 * SECOND_MICROS);
        assertEquals(DeadLetter.State.REDRIVING, deadLetter("m1").state());
        Message original = new Message(1, stored.content());
        Message.Attempt lateAttempt = original.addAttempt(
                stored.attempts().get(0).route(), stored.attempts().get(0).sentAtMicros());
        engine.onLateDelivery(lateAttempt, true);
        advance(SECOND_MICROS);
        int sentBefore = sent.size();
        outcomes = (route, attempt) -> AttemptOutcome.OK;
        advance(60 * SECOND_MICROS);
        assertEquals(DeadLetter.State.DELIVERED, deadLetter("m1").state());
        assertEquals(sentBefore, sent.size());
    }

    @Test
    void keyWindowIsNotMeasuredAfterClockWasSetBackBetweenProcesses() {
        long aheadMicros = nowMicros + 20 * SECOND_MICROS;
        store.put(new DeadLetter(
                0,
                new Message.Content("k1", "keyed", null, "k", aheadMicros, 7, new byte[1]),
                aheadMicros,
                "timeout",
                "failed",
                DeadLetter.State.STORED,
                DeadLetter.NEVER_DUE,
                null,
                0,
                List.of(new DeadLetter.Attempt("r0", "b0", aheadMicros - SECOND_MICROS, AttemptOutcome.TIMEOUT))));
        DeadLetterService restarted = new DeadLetterService(
                (micros, task) -> {
                    queue.add(new ScheduledTask(nowMicros + micros, order++, task));
                    return () -> {};
                },
                () -> nowMicros,
                engine,
                new VirtualStoreQueue(),
                new DeadLetterService.Options(
                        Map.of(
                                "keyed",
                                new RedriveClass(
                                        new RequestClass(
                                                "keyed",
                                                Idempotency.IDEMPOTENT_BY_KEY,
                                                KeyScope.ZONE,
                                                KEY_WINDOW_MICROS,
                                                SECOND_MICROS,
                                                2 * SECOND_MICROS,
                                                1,
                                                0.5,
                                                false),
                                        3_600 * SECOND_MICROS)),
                        new RedrivePolicy(SECOND_MICROS, SECOND_MICROS),
                        2,
                        1 << 30,
                        1 << 29,
                        1_000,
                        true,
                        3_600 * SECOND_MICROS));
        restarted.start();
        advance(25 * SECOND_MICROS);
        RedrivePolicy.Decision decision = restarted.decide(deadLetter("k1"));
        assertTrue(
                decision instanceof RedrivePolicy.NeedsConfirmation needed
                        && needed.reason().contains("restart"),
                decision.toString());
    }

    @Test
    void redriveInFlightIsNotDuplicatedIfTheStoreShowsItAsStored() {
        outcomes = (route, attempt) -> AttemptOutcome.REJECTED;
        accept("m1", "unsafe");
        advance(4 * SECOND_MICROS);
        assertEquals(DeadLetter.State.REDRIVING, deadLetter("m1").state());
        // As after a restart: a redrive is in flight, and the store does not show it as redriving.
        store.transition(deadLetter("m1").id(), DeadLetter.State.REDRIVING, DeadLetter.State.STORED, nowMicros);
        List<RedrivePolicy.Decision> decisions = new ArrayList<>();
        service.redrive(deadLetter("m1"), decisions::add);
        assertTrue(decisions.get(0) instanceof RedrivePolicy.SendLater, decisions.toString());
        assertEquals(DeadLetter.State.STORED, deadLetter("m1").state());
    }

    private static Message.Content content(String requestClass) {
        return new Message.Content("new", requestClass, null, "key-new", Long.MAX_VALUE, 7, new byte[1]);
    }

    @Test
    void fullStoreRejectsOnlyMessagesOfFailingClasses() {
        for (int i = 0; i < 999; i++) {
            store.put(new DeadLetter(
                    0,
                    new Message.Content("old" + i, "unsafe", null, null, i, 7, new byte[1]),
                    nowMicros,
                    "",
                    "failed",
                    DeadLetter.State.DISCARDED,
                    DeadLetter.NEVER_DUE,
                    null,
                    0,
                    List.of()));
        }
        outcomes = (route, attempt) -> AttemptOutcome.RESET;
        assertFalse(service.rejects(content("unsafe")));
        accept("m1", "unsafe");
        advance(3 * SECOND_MICROS);
        assertEquals(1_000, store.size().entries());
        assertTrue(service.rejects(content("unsafe")), "a message of this class has failed, and the store is full");
        assertFalse(service.rejects(content("keyed")), "no message of this class has failed");
        nowMicros += 3_600 * SECOND_MICROS;
        advance(2 * SECOND_MICROS);
        assertTrue(store.size().entries() < 1_000, "closed dead letters are removed by age");
        assertFalse(service.rejects(content("unsafe")), "the store is no longer full");
    }
}
