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
 * Stores undelivered messages and redrives them: polls the store for dead letters that are due, decides by
 * {@link RedrivePolicy} and hands them to the engine at a pace of each destination's own. Not thread-safe; everything
 * runs on the event loop, and the store is reached through a queue.
 */
public final class DeadLetterService implements DeadLetterSink {
    /**
     * Settings.
     *
     * @param redriveClasses request classes by name, with the time for which their messages are redriven
     * @param policy decides on redrives
     * @param redrivesPerSecond highest rate of redrives to one destination
     * @param highWatermarkBytes size from which the store is full
     * @param lowWatermarkBytes size below which it is no longer full
     * @param maxEntries number of dead letters from which it is full
     * @param refuseWhenFull while the store is full, new messages of a class that has failed meanwhile are refused;
     *     otherwise they are accepted, and those that fail are logged as lost
     * @param maxClosedAgeMicros time after which delivered and discarded dead letters are removed
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
    /** The poll interval doubles with each poll that finds nothing, up to this many times. */
    private static final int MAX_IDLE_DOUBLINGS = 3;

    private static final int MAX_DUE_PER_POLL = 64;
    private static final int MAX_REMOVED_PER_POLL = 500;
    private static final int ALL_DESTINATIONS = Integer.MIN_VALUE;
    private static final DeadLetterStore.Filter REDRIVING =
            new DeadLetterStore.Filter(DeadLetter.State.REDRIVING, null, null, null, null, 0, 0);

    /** Result of a poll: what is due, and the size of the store where something was removed, else null. */
    private record PollResult(List<DeadLetter> due, DeadLetterStore.Size sizeAfterRemoval) {}

    private final Timers timers;
    private final Clock clock;
    private final DeliveryEngine engine;
    private final DeadLetterStoreQueue storeQueue;
    private final Options options;
    private final DeadLetterFactory factory = new DeadLetterFactory();
    private final RedrivePacer pacer;
    private final StoreCapacity capacity;
    /** Messages that are being redriven, by the id of their dead letter. */
    private final Map<Long, Message> redriving = new HashMap<>();
    /** Store tasks to repeat, since the queue was full or they failed. The journal still has what they are about. */
    private final ArrayDeque<Runnable> tasksToRetry = new ArrayDeque<>();

    private boolean isPolling;
    private boolean isPaused;
    private int lastPolledDestination = ALL_DESTINATIONS;
    private int idlePolls;
    /** Time from which intervals can be measured; never, until the store has reported its newest time. */
    private long steadySinceMicros = Long.MAX_VALUE;

    private long newestJournaledMicros;

    /** A service; {@link #start} starts it. */
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

    /** Recovers redrives that a crash cut off between the store and the journal, then polls periodically. */
    public void start() {
        List<Long> journaledIds = List.copyOf(redriving.keySet());
        submitUntilDone(
                store -> {
                    resetUnjournaledRedrives(store, journaledIds);
                    return store.newestMicros();
                },
                newestStoredMicros -> {
                    // The clock may have been set back between two processes: something older than anything that the
                    // earlier one has left may in truth be older still.
                    long newestMicros = Math.max(newestStoredMicros, newestJournaledMicros);
                    steadySinceMicros = Math.max(clock.micros(), newestMicros + 1);
                    submitUntilDone(DeadLetterStore::size, capacity::update);
                });
        poll();
    }

    /** A dead letter that is redriving and not in the journal was never handed to the engine: it made no attempt. */
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
            redriving.put(message.deadLetterId(), message);
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
        DeadLetter.Attempt learned = factory.attemptOf(attempt);
        submitUntilDone(
                store -> {
                    long id = idOf(message, store);
                    if (id != 0) {
                        store.recordOutcome(id, learned);
                    }
                    return id;
                },
                id -> {
                    Message redriven = redriving.get(id);
                    boolean isOtherMessage = redriven != null && redriven != message;
                    // A redrive of a message that is now proven to be executed would execute it twice.
                    if (isOtherMessage && learned.certainty() == ExecutionCertainty.EXECUTED) {
                        engine.cancelRedrive(redriven);
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
                    // Reports the size after a removal, since a full store may not be full any more.
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
            if (pacer.isFree(deadLetter.content().destination(), clock.micros())) {
                redrive(deadLetter, decision -> {});
            }
        }
    }

    /**
     * Decides on a dead letter and acts on the decision.
     *
     * @param decided receives the decision, then or later, on the event loop
     */
    public void redrive(DeadLetter deadLetter, Consumer<RedrivePolicy.Decision> decided) {
        long nowMicros = clock.micros();
        RedrivePolicy.Decision decision = decideUnlessRedriving(deadLetter, nowMicros);
        if (decision instanceof RedrivePolicy.SendNow) {
            beginRedrive(deadLetter, nowMicros, decided);
            return;
        }
        long dueMicros = decision instanceof RedrivePolicy.SendLater later ? later.atMicros() : DeadLetter.NEVER_DUE;
        submit(
                store -> store.transition(deadLetter.id(), DeadLetter.State.STORED, DeadLetter.State.STORED, dueMicros),
                isChanged -> {});
        decided.accept(decision);
    }

    /**
     * The store may not yet have recorded the end of a redrive, as after a restart: there is no second one beside it.
     */
    private RedrivePolicy.Decision decideUnlessRedriving(DeadLetter deadLetter, long nowMicros) {
        return redriving.containsKey(deadLetter.id())
                ? new RedrivePolicy.SendLater(nowMicros + options.policy().pauseMicros(), "it is being sent again")
                : decide(deadLetter);
    }

    private void beginRedrive(DeadLetter deadLetter, long nowMicros, Consumer<RedrivePolicy.Decision> decided) {
        int destination = deadLetter.content().destination();
        pacer.begin(destination, nowMicros);
        boolean isQueued = submit(
                store -> store.transition(deadLetter.id(), DeadLetter.State.STORED, DeadLetter.State.REDRIVING, 0),
                isChanged -> {
                    if (isChanged) {
                        send(deadLetter, decided);
                    } else {
                        pacer.end(destination);
                        decided.accept(new RedrivePolicy.SendLater(nowMicros, "it is being sent again, or is over"));
                    }
                },
                () -> pacer.end(destination));
        if (!isQueued) {
            pacer.end(destination);
            decided.accept(new RedrivePolicy.SendLater(nowMicros, "the store is busy"));
        }
    }

    /** The policy's decision on a dead letter at this moment. */
    public RedrivePolicy.Decision decide(DeadLetter deadLetter) {
        RedriveClass redriveClass =
                options.redriveClasses().get(deadLetter.content().requestClass());
        return options.policy().decide(deadLetter, redriveClass, clock.micros(), steadySinceMicros);
    }

    /** Decides again, since a key window may have closed or a proof come in while the store was busy, and sends. */
    private void send(DeadLetter deadLetter, Consumer<RedrivePolicy.Decision> decided) {
        RedrivePolicy.Decision decision = decide(deadLetter);
        Message message = decision instanceof RedrivePolicy.SendNow sendNow
                ? engine.redrive(
                        deadLetter.id(),
                        withDeadline(deadLetter.content(), sendNow.deadlineMicros()),
                        sendNow.pastAttempts())
                : null;
        if (message != null) {
            redriving.put(deadLetter.id(), message);
            decided.accept(decision);
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
        decided.accept(
                decision instanceof RedrivePolicy.SendNow
                        ? new RedrivePolicy.SendLater(
                                dueMicros, "the relay has no room for it, or does not know its destination")
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
                    if (redriving.remove(id) != null) {
                        pacer.end(message.content().destination());
                    }
                    engine.onDeadLetterStored(message);
                });
    }

    private void recordRedrive(
            DeadLetterStore store, DeadLetter deadLetter, List<DeadLetter.Attempt> attempts, long nowMicros) {
        // The message began with attempts that the store has already.
        List<DeadLetter.Attempt> newAttempts = new ArrayList<>(attempts);
        newAttempts.removeIf(attempt -> deadLetter.attempts().stream().anyMatch(known -> isSame(known, attempt)));
        boolean isExecuted = deadLetter.certainty() == ExecutionCertainty.EXECUTED
                || newAttempts.stream().anyMatch(attempt -> attempt.certainty() == ExecutionCertainty.EXECUTED);
        store.recordRedrive(
                deadLetter.id(),
                newAttempts,
                isExecuted ? DeadLetter.State.DELIVERED : DeadLetter.State.STORED,
                options.policy().nextAttemptMicros(deadLetter, nowMicros),
                redriveReason(deadLetter, newAttempts));
    }

    private static boolean isSame(DeadLetter.Attempt one, DeadLetter.Attempt other) {
        return one.route().equals(other.route()) && one.sentAtMicros() == other.sentAtMicros();
    }

    private static String redriveReason(DeadLetter deadLetter, List<DeadLetter.Attempt> newAttempts) {
        if (newAttempts.isEmpty()) {
            return deadLetter.reason();
        }
        DeadLetter.Attempt last = newAttempts.get(newAttempts.size() - 1);
        return "sent again: " + (last.outcome() == null ? null : last.outcome().code());
    }

    /** Pauses redrives, or resumes them. */
    public void setPaused(boolean isPaused) {
        this.isPaused = isPaused;
    }

    /** True while redrives are paused. */
    public boolean isPaused() {
        return isPaused;
    }

    /** Number of messages that could not be stored since the start. */
    public long lostCount() {
        return capacity.lostCount();
    }

    private <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then) {
        return submit(task, then, () -> isPolling = false);
    }

    private <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed) {
        return storeQueue.submit(task, then, failed);
    }

    /** Runs a store task, and repeats it at a later poll where the queue is full or the task fails. */
    private <T> void submitUntilDone(Function<DeadLetterStore, T> task, Consumer<T> then) {
        Runnable retry = () -> submitUntilDone(task, then);
        if (!submit(task, then, () -> tasksToRetry.add(retry))) {
            tasksToRetry.add(retry);
        }
    }
}
