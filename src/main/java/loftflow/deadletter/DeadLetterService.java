package loftflow.deadletter;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import loftflow.engine.Clock;
import loftflow.engine.DeadLetterSink;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.Timers;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;

/**
 * Keeps what could not be delivered and brings it back: takes ended messages to the shelf, looks for entries that are
 * due, asks {@link RedrivePolicy} and hands them to the engine at a pace of each destination's own. Everything happens
 * on the
 * event loop; the shelf is reached through a queue.
 */
public final class DeadLetterService implements DeadLetterSink {
    /**
     * How it is set.
     *
     * @param shelves the classes, by name, with their shelf lives
     * @param pace messages a second sent again to one destination at the most
     * @param high bytes from which on the shelf is full
     * @param low bytes below which it is not full any more
     * @param most entries from which on it is full
     * @param refuseWhenFull new work of a class that has failed meanwhile is refused then; otherwise it goes on, and
     *        what fails is logged as lost
     * @param age microseconds after which entries that are over are removed
     */
    public record Options(
            Map<String, RedrivePolicy.Shelved> shelves,
            RedrivePolicy rules,
            double pace,
            long high,
            long low,
            long most,
            boolean refuseWhenFull,
            long age) {}

    private static final long LOOK = 100_000;
    private static final int MOST_DUE = 64;
    private static final int MOST_IDLE_DOUBLINGS = 3;
    private static final long SECOND = 1_000_000;
    private static final int MOST_REMOVED = 500;

    /** A destination's pace: when the next one may go, and how many are out. */
    private static final class Lane {
        private long next;
        private int out;
    }

    /** What a look has found: entries that are due, and the size where something was removed. */
    private record Looked(List<DeadLetter> due, DeadLetterStore.Size smaller) {}

    private final Timers timers;
    private final Clock clock;
    private final DeliveryEngine engine;
    private final DeadLetterStoreQueue shelf;
    private final Options options;
    private final Map<Integer, Lane> lanes = new HashMap<>();
    private final Map<String, String> buildings = new HashMap<>();
    /** What is being sent again, by entry. */
    private final Map<Long, Message> sending = new HashMap<>();
    /** What the shelf has not taken yet, since its queue was full or it failed; the journal holds all of it. */
    private final ArrayDeque<Runnable> again = new ArrayDeque<>();

    private boolean full;
    /** Classes of which something had to be kept since the store was last found not full. */
    private final Set<String> failing = new HashSet<>();

    private boolean looking;
    private boolean paused;
    private int lastLane = Integer.MIN_VALUE;
    private int idleLooks;
    private long lost;
    /** Nothing is steady until the store has told how far earlier processes have come. */
    private long steadySince = Long.MAX_VALUE;

    private long newestJournaled;

    /** A desk; {@link #start} sets it going. */
    public DeadLetterService(
            Timers timers, Clock clock, DeliveryEngine engine, DeadLetterStoreQueue shelf, Options options) {
        this.timers = timers;
        this.clock = clock;
        this.engine = engine;
        this.shelf = shelf;
        this.options = options;
    }

    /** Takes back what a crash left between the shelf and the journal, then looks for what is due again and again. */
    public void start() {
        List<Long> journaled = List.copyOf(sending.keySet());
        insist(
                s -> {
                    for (DeadLetter entry : s.list(
                            new DeadLetterStore.Filter(DeadLetter.State.RESENDING, null, null, null, null, 0, 0),
                            0,
                            Integer.MAX_VALUE,
                            false)) {
                        // Guards against a kill after the shelf was told and before the journal was: no attempt was
                        // made.
                        if (!journaled.contains(entry.id())) {
                            s.move(entry.id(), DeadLetter.State.RESENDING, DeadLetter.State.KEPT, 0);
                        }
                    }
                    return s.newest();
                },
                newest -> {
                    // Guards against a clock that was set back between two processes: what is older than anything that
                    // the
                    // earlier one has left may in truth be older still.
                    steadySince = Math.max(clock.micros(), Math.max(newest, newestJournaled) + 1);
                    insist(DeadLetterStore::size, this::measured);
                });
        look();
    }

    @Override
    public void onMessageResumed(Message message) {
        message.attempts().forEach(a -> newestJournaled = Math.max(newestJournaled, a.sentAtMicros()));
        if (message.deadLetterId() != 0) {
            sending.put(message.deadLetterId(), message);
            lane(message.content().destination()).out++;
        }
    }

    // ---- what ends

    @Override
    public boolean accepts(Message message) {
        boolean takes = !full || options.refuseWhenFull();
        if (!takes) {
            lost++;
            Log.line("undeliverable: the store is full, " + message.content().messageId() + " is lost, the " + lost
                    + ". one");
        }
        return takes;
    }

    @Override
    public boolean rejects(Message.Content content) {
        return full && options.refuseWhenFull() && failing.contains(content.requestClass());
    }

    @Override
    public void store(Message message) {
        DeadLetter entry = entry(message);
        failing.add(message.content().requestClass());
        insist(
                s -> {
                    s.put(entry);
                    return s.size();
                },
                size -> {
                    measured(size);
                    engine.onDeadLetterStored(message);
                });
    }

    private DeadLetter entry(Message message) {
        List<DeadLetter.Try> tries = tries(message, 0);
        boolean did = tries.stream().anyMatch(t -> t.ran() == ExecutionCertainty.DID);
        long now = clock.micros();
        AttemptOutcome last =
                tries.isEmpty() ? null : tries.get(tries.size() - 1).result();
        String why = tries.isEmpty()
                ? "no attempt"
                : last == null ? "no outcome" : last.name().toLowerCase(java.util.Locale.ROOT);
        return new DeadLetter(
                0,
                message.content(),
                now,
                why,
                "failed",
                did ? DeadLetter.State.DELIVERED : DeadLetter.State.KEPT,
                now + options.rules().pause(),
                null,
                0,
                tries);
    }

    private List<DeadLetter.Try> tries(Message message, int from) {
        List<DeadLetter.Try> tries = new ArrayList<>();
        for (Message.Attempt attempt :
                message.attempts().subList(from, message.attempts().size())) {
            tries.add(toTry(attempt));
        }
        return tries;
    }

    private DeadLetter.Try toTry(Message.Attempt attempt) {
        return new DeadLetter.Try(
                attempt.route(),
                buildings.getOrDefault(attempt.route(), ""),
                attempt.sentAtMicros(),
                attempt.outcome());
    }

    @Override
    public void onOutcomeLearned(Message.Attempt attempt) {
        Message message = attempt.message();
        DeadLetter.Try more = toTry(attempt);
        insist(
                s -> {
                    long id = message.deadLetterId() != 0
                            ? message.deadLetterId()
                            : s.find(
                                            message.content().messageId(),
                                            message.content().deadlineMicros())
                                    .orElse(0);
                    if (id != 0) {
                        s.learn(id, more);
                    }
                    return id;
                },
                id -> {
                    Message again = sending.get(id);
                    // Guards against a second posting of what has just been proven to be posted.
                    if (again != null && again != message && more.ran() == ExecutionCertainty.DID) {
                        engine.cancelRedrive(again);
                    }
                });
    }

    // ---- what comes back

    private void look() {
        // Where nothing is due the store is looked at ever less often.
        timers.schedule(LOOK << Math.min(MOST_IDLE_DOUBLINGS, idleLooks), this::look);
        while (!again.isEmpty()) {
            Runnable first = again.poll();
            int before = again.size();
            first.run();
            if (again.size() > before) {
                break;
            }
        }
        if (!looking && !paused) {
            looking = true;
            long now = clock.micros();
            boolean taken = submit(
                    s -> {
                        // Guards against a store that stays full in the desk's eyes, where it has become smaller by age
                        // alone.
                        DeadLetterStore.Size smaller =
                                s.removeSettled(now - options.age(), MOST_REMOVED) > 0 ? s.size() : null;
                        return new Looked(s.due(now, lastLane, MOST_DUE), smaller);
                    },
                    looked -> {
                        if (looked.smaller() != null) {
                            measured(looked.smaller());
                        }
                        release(looked.due());
                    });
            looking &= taken;
        }
    }

    private void release(List<DeadLetter> due) {
        looking = false;
        // The next look goes on behind the last destination of this one, or begins anew.
        lastLane = due.size() < MOST_DUE
                ? Integer.MIN_VALUE
                : due.get(due.size() - 1).content().destination();
        idleLooks = due.isEmpty() ? idleLooks + 1 : 0;
        for (DeadLetter entry : due) {
            Lane lane = lane(entry.content().destination());
            if (lane.out == 0 && clock.micros() >= lane.next) {
                tryNow(entry, verdict -> {});
            }
        }
    }

    private Lane lane(int destination) {
        return lanes.computeIfAbsent(destination, d -> new Lane());
    }

    /** Decides on an entry, at its turn, and acts on it; the verdict is told. */
    public void tryNow(DeadLetter entry, Consumer<RedrivePolicy.Verdict> told) {
        long now = clock.micros();
        // Guards against a second resend beside one whose end the store has not taken yet, as after a restart: the
        // store would count it as kept, and know nothing of an attempt that is out.
        RedrivePolicy.Verdict verdict = sending.containsKey(entry.id())
                ? new RedrivePolicy.Later(now + options.rules().pause(), "it is being sent again")
                : decide(entry);
        if (verdict instanceof RedrivePolicy.Now) {
            Lane lane = lane(entry.content().destination());
            lane.out++;
            lane.next = now + (long) (SECOND / options.pace());
            boolean taken = submit(
                    s -> s.move(entry.id(), DeadLetter.State.KEPT, DeadLetter.State.RESENDING, 0),
                    won -> {
                        if (won) {
                            send(entry, told);
                        } else {
                            lane.out--;
                            told.accept(new RedrivePolicy.Later(now, "it is being sent again, or is over"));
                        }
                    },
                    () -> lane.out--);
            if (!taken) {
                lane.out--;
                told.accept(new RedrivePolicy.Later(now, "the store is busy"));
            }
            return;
        }
        long due = verdict instanceof RedrivePolicy.Later later ? later.at() : DeadLetter.NEVER_DUE;
        submit(s -> s.move(entry.id(), DeadLetter.State.KEPT, DeadLetter.State.KEPT, due), moved -> {});
        told.accept(verdict);
    }

    /** What the rules say of an entry now. */
    public RedrivePolicy.Verdict decide(DeadLetter entry) {
        return options.rules()
                .decide(entry, options.shelves().get(entry.content().requestClass()), clock.micros(), steadySince);
    }

    private void send(DeadLetter entry, Consumer<RedrivePolicy.Verdict> told) {
        // Guards against a window that has closed, and a proof that has come, while the shelf was told.
        RedrivePolicy.Verdict verdict = decide(entry);
        Message message = null;
        if (verdict instanceof RedrivePolicy.Now now) {
            Message.Content c = entry.content();
            message = engine.redrive(
                    entry.id(),
                    new Message.Content(
                            c.messageId(),
                            c.requestClass(),
                            c.tenant(),
                            c.key(),
                            now.deadline(),
                            c.destination(),
                            c.body(),
                            null,
                            c.orderingKey()),
                    now.past());
        }
        if (message != null) {
            sending.put(entry.id(), message);
            told.accept(verdict);
            return;
        }
        lane(entry.content().destination()).out--;
        long due = verdict instanceof RedrivePolicy.AfterWord
                ? DeadLetter.NEVER_DUE
                : clock.micros() + options.rules().pause();
        insist(s -> s.move(entry.id(), DeadLetter.State.RESENDING, DeadLetter.State.KEPT, due), moved -> {});
        told.accept(
                verdict instanceof RedrivePolicy.Now
                        ? new RedrivePolicy.Later(
                                due, "the relay has no room for it, or does not know" + " its destination")
                        : verdict);
    }

    @Override
    public void onRedriveEnded(Message message) {
        long id = message.deadLetterId();
        // The attempts that it began with are the entry's already.
        List<DeadLetter.Try> known = tries(message, 0);
        long now = clock.micros();
        insist(
                s -> {
                    DeadLetter entry = s.get(id).orElse(null);
                    if (entry != null) {
                        List<DeadLetter.Try> more = new ArrayList<>(known);
                        more.removeIf(t -> entry.tries().stream()
                                .anyMatch(e -> e.route().equals(t.route()) && e.sentAt() == t.sentAt()));
                        boolean did = entry.ran() == ExecutionCertainty.DID
                                || more.stream().anyMatch(t -> t.ran() == ExecutionCertainty.DID);
                        DeadLetter.State state = did ? DeadLetter.State.DELIVERED : DeadLetter.State.KEPT;
                        String why = more.isEmpty()
                                ? entry.why()
                                : "sent again: " + more.get(more.size() - 1).result();
                        s.resent(id, more, state, options.rules().nextTry(entry, now), why);
                    }
                    return s.size();
                },
                size -> {
                    measured(size);
                    if (sending.remove(id) != null) {
                        lane(message.content().destination()).out--;
                    }
                    engine.onDeadLetterStored(message);
                });
    }

    // ---- persons' words

    /** Sends nothing again by itself until told otherwise. */
    public void pause(boolean on) {
        paused = on;
    }

    public boolean isPaused() {
        return paused;
    }

    /** How many messages could not be kept since the start. */
    public long lost() {
        return lost;
    }

    // ---- the shelf

    private <T> boolean submit(
            java.util.function.Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed) {
        return shelf.submit(task, then, failed);
    }

    private <T> boolean submit(java.util.function.Function<DeadLetterStore, T> task, Consumer<T> then) {
        return submit(task, then, () -> looking = false);
    }

    /**
     * Does something with the shelf, and again where it failed or its queue was full: the journal holds it meanwhile.
     */
    private <T> void insist(java.util.function.Function<DeadLetterStore, T> task, Consumer<T> then) {
        Runnable later = () -> insist(task, then);
        if (!submit(task, then, () -> again.add(later))) {
            again.add(later);
        }
    }

    private void measured(DeadLetterStore.Size size) {
        boolean wasFull = full;
        if (size.bytes() >= options.high() || size.entries() >= options.most()) {
            full = true;
        } else if (size.bytes() < options.low() && size.entries() < options.most()) {
            full = false;
            failing.clear();
        }
        if (full != wasFull) {
            Log.line("undeliverable: the store is " + (full ? "full: " : "not full any more: ") + size.entries()
                    + " entries, " + size.bytes() + " bytes");
        }
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> targets) {
        for (Endpoint target : targets) {
            EndpointEntry listed = target.entry();
            if (listed.availability() == Availability.REMOVED) {
                buildings.remove(listed.route());
            } else {
                buildings.put(listed.route(), listed.zone());
            }
        }
    }
}
