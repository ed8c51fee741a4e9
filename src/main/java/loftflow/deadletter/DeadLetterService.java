package loftflow.deadletter;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.engine.Clock;
import loftflow.engine.DeadLetterSink;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.Timers;
import loftflow.policy.api.EndpointListKind;

/**
 * Stores undelivered messages and redrives them: polls the store for due dead letters, applies the
 * {@link RedrivePolicy} and hands them to the engine at a limited rate per destination. Not thread-safe: all methods
 * run on the event loop, and the store is accessed through a queue.
 */
public final class DeadLetterService implements DeadLetterSink {
    /**
     * Settings of the service.
     *
     * @param redriveClasses request classes by name, with their redrive windows
     * @param policy decides on redrives
     * @param redrivesPerSecond highest rate of redrives to one destination
     * @param highWatermarkBytes size at which the store becomes full
     * @param lowWatermarkBytes size below which the store is no longer full
     * @param maxEntries number of dead letters at which the store becomes full
     * @param refuseWhenFull if true, a full store causes new messages to be rejected if a message of their class has
     *     failed since the store was last found not full; if false, new messages are accepted, and those that fail are
     *     logged as lost
     * @param maxClosedAgeMicros age at which delivered and discarded dead letters are removed
     */
    public record Options(
            Map<String, RedriveClass> redriveClasses,
            RedrivePolicy policy,
            double redrivesPerSecond,
            long highWatermarkBytes,
            long lowWatermarkBytes,
            long maxEntries,
            boolean refuseWhenFull,
            long maxClosedAgeMicros) {}

    private static final long POLL_INTERVAL_MICROS = 100_000;
    /** Maximum number of times that the poll interval doubles, once for each poll that finds nothing. */
    private static final int MAX_IDLE_DOUBLINGS = 3;

    private static final int MAX_DUE_PER_POLL = 64;
    private static final int MAX_REMOVED_PER_POLL = 500;
    private static final int ALL_DESTINATIONS = Integer.MIN_VALUE;
    private static final DeadLetterStore.Filter REDRIVING =
            new DeadLetterStore.Filter(DeadLetter.State.REDRIVING, null, null, null, null, 0, 0);

    /** Result of a poll: the due dead letters, and the store size if any were removed, otherwise null. */
    private record PollResult(List<DeadLetter> due, DeadLetterStore.Size sizeAfterRemoval) {}

    private final Timers timers;
    private final Clock clock;
    private final DeliveryEngine engine;
    private final DeadLetterStoreQueue storeQueue;
    private final Options options;
    private final DeadLetterFactory factory = new DeadLetterFactory();
    private final RedrivePacer pacer;
    private final StoreCapacity capacity;
    /** Messages being redriven, by the id of their dead letter. */
    private final Map<Long, Message> redrivesInFlight = new HashMap<>();
    /** Store tasks to retry after a full queue or a failure. The journal retains their messages until then. */
    private final ArrayDeque<Runnable> tasksToRetry = new ArrayDeque<>();

    private boolean isPolling;
    private boolean isPaused;
    private int lastPolledDestination = ALL_DESTINATIONS;
    private int idlePolls;
    /** Time from which intervals can be measured; the maximum until the store has reported its newest time. */
    private long measurableSinceMicros = Long.MAX_VALUE;

    private long newestJournaledMicros;

    /** Creates a service that is inactive until {@link #start}. */
    public DeadLetterService(
            Timers timers, Clock clock, DeliveryEngine engine, DeadLetterStoreQueue storeQueue, Options options) {
        this.timers = timers;
        this.clock = clock;
        this.engine = engine;
        this.storeQueue = storeQueue;
        this.options = options;
        pacer = new RedrivePacer(options.redrivesPerSecond());
        capacity = new StoreCapacity(options);
    }

    /** Resets redrives that a crash interrupted between the store and the journal, then polls periodically. */
    public void start() {
        List<Long> journaledIds = List.copyOf(redrivesInFlight.keySet());
        submitUntilDone(
                store -> {
                    resetUnjournaledRedrives(store, journaledIds);
                    return store.newestMicros();
                },
                newestStoredMicros -> {
                    // The clock may have been set back between two processes. Timestamps up to the newest one of the
                    // earlier process may then be older than they appear.
                    long newestMicros = Math.max(newestStoredMicros, newestJournaledMicros);
                    measurableSinceMicros = Math.max(clock.micros(), newestMicros + 1);
                    submitUntilDone(DeadLetterStore::size, capacity::update);
                });
        poll();
    }

    /**
     * Resets redriving dead letters that are not in the journal. They were never handed to the engine, so no attempt
     * was made.
     */
    private static void resetUnjournaledRedrives(DeadLetterStore store, List<Long> journaledIds) {
        for (DeadLetter deadLetter : store.list(REDRIVING, 0, Integer.MAX_VALUE, false)) {
            if (!journaledIds.contains(deadLetter.id())) {
                store.transition(deadLetter.id(), DeadLetter.State.REDRIVING, DeadLetter.State.STORED, 0);
            }
        }
    }

    @Override
    public void onMessageResumed(Message message) {
        message.attempts()
                .forEach(attempt -> newestJournaledMicros = Math.max(newestJournaledMicros, attempt.sentAtMicros()));
        if (message.deadLetterId() != 0) {
            redrivesInFlight.put(message.deadLetterId(), message);
            pacer.resume(message.content().destination());
        }
    }

    @Override
    public boolean accepts(Message message) {
        return capacity.accepts(message);
    }

    @Override
    public boolean rejects(Message.Content content) {
        return capacity.rejects(content.requestClass());
    }

    @Override
    public void store(Message message) {
        long nowMicros = clock.micros();
        DeadLetter deadLetter =
                factory.create(message, nowMicros, nowMicros + options.policy().pauseMicros());
        capacity.onFailure(message.content().requestClass());
        submitUntilDone(
                store -> {
                    store.put(deadLetter);
                    return store.size();
                },
                size -> {
                    capacity.update(size);
                    engine.onDeadLetterStored(message);
                });
    }

    @Override
    public void onOutcomeLearned(Message.Attempt attempt) {
        Message message = attempt.message();
        DeadLetter.Attempt updatedAttempt = factory.attemptOf(attempt);
        submitUntilDone(
                store -> {
                    long id = idOf(message, store);
                    if (id != 0) {
                        store.recordOutcome(id, updatedAttempt);
                    }
                    return id;
                },
                id -> {
                    Message redrive = redrivesInFlight.get(id);
                    boolean isOtherMessage = redrive != null && redrive != message;
                    // The message is proven to be executed; a redrive would execute it twice.
                    if (isOtherMessage && updatedAttempt.certainty() == ExecutionCertainty.EXECUTED) {
                        engine.cancelRedrive(redrive);
                    }
                });
    }

    private static long idOf(Message message, DeadLetterStore store) {
        if (message.deadLetterId() != 0) {
            return message.deadLetterId();
        }
        Message.Content content = message.content();
        return store.find(content.messageId(), content.deadlineMicros()).orElse(0);
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> endpoints) {
        factory.onEndpointList(endpoints);
    }

    private void poll() {
        timers.schedule(POLL_INTERVAL_MICROS << Math.min(MAX_IDLE_DOUBLINGS, idlePolls), this::poll);
        retryTasks();
        if (isPolling || isPaused) {
            return;
        }
        isPolling = true;
        long nowMicros = clock.micros();
        boolean isQueued = submit(
                store -> {
                    // A removal may bring a full store below its low watermark, so the size is reported.
                    int removed = store.removeSettled(nowMicros - options.maxClosedAgeMicros(), MAX_REMOVED_PER_POLL);
                    DeadLetterStore.Size sizeAfterRemoval = removed > 0 ? store.size() : null;
                    List<DeadLetter> due = store.findDue(nowMicros, lastPolledDestination, MAX_DUE_PER_POLL);
                    return new PollResult(due, sizeAfterRemoval);
                },
                this::onPolled);
        isPolling &= isQueued;
    }

    private void retryTasks() {
        while (!tasksToRetry.isEmpty()) {
            Runnable task = tasksToRetry.poll();
            int remaining = tasksToRetry.size();
            task.run();
            if (tasksToRetry.size() > remaining) {
                // The queue is still full.
                break;
            }
        }
    }

    private void onPolled(PollResult result) {
        if (result.sizeAfterRemoval() != null) {
            capacity.update(result.sizeAfterRemoval());
        }
        isPolling = false;
        List<DeadLetter> due = result.due();
        boolean hasMore = due.size() >= MAX_DUE_PER_POLL;
        lastPolledDestination = hasMore ? due.get(due.size() - 1).content().destination() : ALL_DESTINATIONS;
        idlePolls = due.isEmpty() ? idlePolls + 1 : 0;
        for (DeadLetter deadLetter : due) {
            if (pacer.canBegin(deadLetter.content().destination(), clock.micros())) {
                redrive(deadLetter, decision -> {});
            }
        }
    }

    /**
     * Decides on a dead letter and acts on the decision.
     *
     * @param onDecision receives the decision on the event loop, either before this method returns or later; not called
     *     if the store task fails
     */
    public void redrive(DeadLetter deadLetter, Consumer<RedrivePolicy.Decision> onDecision) {
        long nowMicros = clock.micros();
        RedrivePolicy.Decision decision = decideUnlessRedriving(deadLetter, nowMicros);
        if (decision instanceof RedrivePolicy.SendNow) {
            beginRedrive(deadLetter, nowMicros, onDecision);
            return;
        }
        long dueMicros = decision instanceof RedrivePolicy.SendLater later ? later.atMicros() : DeadLetter.NEVER_DUE;
        submit(
                store -> store.transition(deadLetter.id(), DeadLetter.State.STORED, DeadLetter.State.STORED, dueMicros),
                isChanged -> {});
        onDecision.accept(decision);
    }

    /**
     * Decides on a dead letter, and postpones it while a redrive of it is in flight: after a restart, the store may
     * show a dead letter as stored although its redrive has not ended.
     */
    private RedrivePolicy.Decision decideUnlessRedriving(DeadLetter deadLetter, long nowMicros) {
        return redrivesInFlight.containsKey(deadLetter.id())
                ? new RedrivePolicy.SendLater(nowMicros + options.policy().pauseMicros(), "it is being sent again")
                : decide(deadLetter);
    }

    private void beginRedrive(DeadLetter deadLetter, long nowMicros, Consumer<RedrivePolicy.Decision> onDecision) {
        int destination = deadLetter.content().destination();
        pacer.begin(destination, nowMicros);
        boolean isQueued = submit(
                store -> store.transition(deadLetter.id(), DeadLetter.State.STORED, DeadLetter.State.REDRIVING, 0),
                isChanged -> {
                    if (isChanged) {
                        send(deadLetter, onDecision);
                    } else {
                        pacer.end(destination);
                        onDecision.accept(new RedrivePolicy.SendLater(nowMicros, "it is being sent again, or is over"));
                    }
                },
                () -> pacer.end(destination));
        if (!isQueued) {
            pacer.end(destination);
            onDecision.accept(new RedrivePolicy.SendLater(nowMicros, "the store is busy"));
        }
    }

    /** Returns the policy's decision on a dead letter at the current time. */
    public RedrivePolicy.Decision decide(DeadLetter deadLetter) {
        RedriveClass redriveClass =
                options.redriveClasses().get(deadLetter.content().requestClass());
        return options.policy().decide(deadLetter, redriveClass, clock.micros(), measurableSinceMicros);
    }

    /**
     * Decides again and sends if still allowed: a key window may have closed, or a proof of execution may have arrived,
     * while the store was busy.
     */
    private void send(DeadLetter deadLetter, Consumer<RedrivePolicy.Decision> onDecision) {
        RedrivePolicy.Decision decision = decide(deadLetter);
        Message message = decision instanceof RedrivePolicy.SendNow sendNow
                ? engine.redrive(
                        deadLetter.id(),
                        withDeadline(deadLetter.content(), sendNow.deadlineMicros()),
                        sendNow.pastAttempts())
                : null;
        if (message != null) {
            redrivesInFlight.put(deadLetter.id(), message);
            onDecision.accept(decision);
            return;
        }
        pacer.end(deadLetter.content().destination());
        long dueMicros = decision instanceof RedrivePolicy.NeedsConfirmation
                ? DeadLetter.NEVER_DUE
                : clock.micros() + options.policy().pauseMicros();
        submitUntilDone(
                store -> store.transition(
                        deadLetter.id(), DeadLetter.State.REDRIVING, DeadLetter.State.STORED, dueMicros),
                isChanged -> {});
        onDecision.accept(
                decision instanceof RedrivePolicy.SendNow
                        ? new RedrivePolicy.SendLater(
                                dueMicros,
                                "the relay has no room for it, awaits an answer, or does not know its destination")
                        : decision);
    }

    private static Message.Content withDeadline(Message.Content content, long deadlineMicros) {
        return new Message.Content(
                content.messageId(),
                content.requestClass(),
                content.tenant(),
                content.key(),
                deadlineMicros,
                content.destination(),
                content.body(),
                null,
                content.orderingKey());
    }

    @Override
    public void onRedriveEnded(Message message) {
        long id = message.deadLetterId();
        List<DeadLetter.Attempt> attempts = factory.attemptsOf(message);
        long nowMicros = clock.micros();
        submitUntilDone(
                store -> {
                    store.get(id).ifPresent(deadLetter -> recordRedrive(store, deadLetter, attempts, nowMicros));
                    return store.size();
                },
                size -> {
                    capacity.update(size);
                    if (redrivesInFlight.remove(id) != null) {
                        pacer.end(message.content().destination());
                    }
                    engine.onDeadLetterStored(message);
                });
    }

    private void recordRedrive(
            DeadLetterStore store, DeadLetter deadLetter, List<DeadLetter.Attempt> attempts, long nowMicros) {
        // The message also lists past attempts, which the store already contains.
        List<DeadLetter.Attempt> newAttempts = new ArrayList<>(attempts);
        newAttempts.removeIf(
                attempt -> deadLetter.attempts().stream().anyMatch(known -> isSameAttempt(known, attempt)));
        boolean isExecuted = deadLetter.certainty() == ExecutionCertainty.EXECUTED
                || newAttempts.stream().anyMatch(attempt -> attempt.certainty() == ExecutionCertainty.EXECUTED);
        store.recordRedrive(
                deadLetter.id(),
                newAttempts,
                isExecuted ? DeadLetter.State.DELIVERED : DeadLetter.State.STORED,
                options.policy().nextAttemptMicros(deadLetter, nowMicros),
                redriveReason(deadLetter, newAttempts));
    }

    private static boolean isSameAttempt(DeadLetter.Attempt one, DeadLetter.Attempt other) {
        return one.route().equals(other.route()) && one.sentAtMicros() == other.sentAtMicros();
    }

    private static String redriveReason(DeadLetter deadLetter, List<DeadLetter.Attempt> newAttempts) {
        if (newAttempts.isEmpty()) {
            return deadLetter.reason();
        }
        DeadLetter.Attempt last = newAttempts.get(newAttempts.size() - 1);
        return "sent again: " + (last.outcome() == null ? null : last.outcome().code());
    }

    /** Pauses or resumes automatic redrives. Redrives requested through {@link #redrive} are not affected. */
    public void setPaused(boolean isPaused) {
        this.isPaused = isPaused;
    }

    /** Returns true while automatic redrives are paused. */
    public boolean isPaused() {
        return isPaused;
    }

    /** Returns the number of messages lost since the start because the store was full. */
    public long lostCount() {
        return capacity.lostCount();
    }

    private <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> onResult) {
        return submit(task, onResult, () -> isPolling = false);
    }

    private <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> onResult, Runnable onFailure) {
        return storeQueue.submit(task, onResult, onFailure);
    }

    /** Runs a store task; retries it at a later poll if the queue is full or the task fails. */
    private <T> void submitUntilDone(Function<DeadLetterStore, T> task, Consumer<T> onResult) {
        Runnable retry = () -> submitUntilDone(task, onResult);
        if (!submit(task, onResult, () -> tasksToRetry.add(retry))) {
            tasksToRetry.add(retry);
        }
    }
}
