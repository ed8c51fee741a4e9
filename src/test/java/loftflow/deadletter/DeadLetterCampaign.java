package loftflow.deadletter;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.engine.Clock;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.Timers;
import loftflow.engine.UpstreamClient;
import loftflow.engine.WriteAheadLog;
import loftflow.fake.TemporaryFolder;
import loftflow.journal.Journal;
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
import loftflow.policy.api.Zone;

/**
 * Seeded runs of the real engine, decision module, journal, desk and store in virtual time, with partners that fail in
 * every way, kills before and after any write, persons who give their word, and clocks that are set. What partners
 * posted is counted apart from anything that the relay believes.
 *
 * <p>{@code Campaign RUNS [FIRST_SEED] [forgetful]} prints the count; {@code forgetful} takes the rule away that an
 * unknown outcome is no proof, and must find doubles.
 */
public final class DeadLetterCampaign {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 6 * SECOND;
    private static final int MESSAGES = 14;
    private static final int DESTINATIONS = 3;
    private static final long DISK = 3 << 20;

    /** What came of some runs. */
    record Count(
            int runs,
            int messages,
            int doubles,
            int lost,
            int torn,
            int delivered,
            int kept,
            int refused,
            int discarded,
            int resends,
            int kills,
            int words) {
        Count plus(Count o) {
            return new Count(
                    runs + o.runs,
                    messages + o.messages,
                    doubles + o.doubles,
                    lost + o.lost,
                    torn + o.torn,
                    delivered + o.delivered,
                    kept + o.kept,
                    refused + o.refused,
                    discarded + o.discarded,
                    resends + o.resends,
                    kills + o.kills,
                    words + o.words);
        }
    }

    /** The process dies here. */
    private static final class Killed extends Error {
        private static final long serialVersionUID = 1L;
    }

    private record Due(long at, long order, Runnable task, int life) {}

    /** What partners know: what took effect, by message id, and what may yet. */
    private static final class World {
        private final Map<String, Integer> effects = new HashMap<>();
        private final Map<String, List<long[]>> keys = new HashMap<>();
        private final Map<String, Integer> pending = new HashMap<>();
        private final List<String> postings = new ArrayList<>();
        private final Map<String, String> types = new HashMap<>();

        void post(String id, String type, String key, int building, long now) {
            if (type.equals("keyed")) {
                List<long[]> seen = keys.computeIfAbsent(key, k -> new ArrayList<>());
                if (seen.stream().anyMatch(s -> s[1] == building && now - s[0] < WINDOW)) {
                    return;
                }
                seen.add(new long[] {now, building});
            }
            effects.merge(id, 1, Integer::sum);
            postings.add(id + " at " + now);
        }
    }

    private final long seed;
    private final Random random;
    private final Path folder;
    private final boolean forgetful;
    private final World world = new World();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final Set<String> taken = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> discarded = new HashSet<>();
    private long now = 1_000_000 * SECOND;
    private long skew;
    private long order;
    /** 0 is the world's own, which no kill ends. */
    private int life = 1;

    private int untilKill;
    private int kills;
    private int words;
    private int mostKills;
    private boolean outage;
    private boolean down;
    /** When persons have gone home. */
    private long ends = Long.MAX_VALUE;

    private Journal journal;
    private SqliteDeadLetterStore shelf;
    private DeliveryEngine engine;
    private DeadLetterService desk;
    private int resends;

    private DeadLetterCampaign(long seed, Path folder, boolean forgetful) {
        this.seed = seed;
        random = new Random(seed);
        this.folder = folder;
        this.forgetful = forgetful;
    }

    /** One run. */
    static Count run(long seed, boolean forgetful) throws IOException {
        try (TemporaryFolder scratch = TemporaryFolder.named("campaign")) {
            return new DeadLetterCampaign(seed, scratch.folder(), forgetful).play();
        }
    }

    // ---- virtual time

    private void at(long span, Runnable task, int whose) {
        queue.add(new Due(now + Math.max(0, span), order++, task, whose));
    }

    /** A write that a kill may come before or after. */
    private <T> T write(java.util.function.Supplier<T> write) {
        boolean dies = --untilKill == 0;
        if (dies && random.nextBoolean()) {
            throw new Killed();
        }
        T result = write.get();
        if (dies) {
            throw new Killed();
        }
        return result;
    }

    private void drain(long end) {
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Due due = queue.poll();
            now = Math.max(now, due.at());
            if (due.life() != 0 && due.life() != life) {
                continue;
            }
            try {
                due.task().run();
            } catch (Killed e) {
                restart();
            }
        }
        now = Math.max(now, end);
    }

    /** Partners go on with what they were sent before the kill, in their own time. */
    private void passWithoutARelay(long end) {
        down = true;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Due due = queue.poll();
            if (due.life() == 0) {
                now = Math.max(now, due.at());
                due.task().run();
            }
        }
        now = end;
        down = false;
    }

    private void restart() {
        kills++;
        life++;
        try {
            journal.close();
            shelf.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        passWithoutARelay(now + random.nextInt(3_000_000));
        while (true) {
            try {
                start();
                return;
            } catch (Killed e) {
                kills++;
                life++;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    // ---- a relay

    private static PolicySettings settings(long seed) {
        return new PolicySettings(
                seed,
                0,
                1,
                "b0",
                List.of(
                        new RequestClass(
                                "safe", Idempotency.IDEMPOTENT, KeyScope.ALL, 0, SECOND, 4 * SECOND, 1, 0.1, false),
                        new RequestClass(
                                "keyed",
                                Idempotency.IDEMPOTENT_BY_KEY,
                                KeyScope.ZONE,
                                WINDOW,
                                SECOND,
                                5 * SECOND,
                                2,
                                0.5,
                                false),
                        new RequestClass(
                                "unsafe",
                                Idempotency.NON_IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND,
                                4 * SECOND,
                                5,
                                0.3,
                                false)),
                List.of(),
                List.of(new DestinationKind("k", false, 1)),
                List.of(new Zone("b0", 0), new Zone("b1", 0)),
                new RelayLimits(8, 200, 12, true, false, false, false, true, SECOND),
                new ServiceRules(0, SECOND / 2, 2.5, 2 * SECOND, 0.2, 5 * SECOND, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
    }

    private void start() throws IOException {
        int mine = life;
        untilKill = kills < mostKills ? 1 + random.nextInt(60) : Integer.MAX_VALUE;
        PolicySettings settings = settings(random.nextLong());
        Clock clock = () -> now + skew;
        Timers timers = (micros, task) -> {
            boolean[] off = new boolean[1];
            at(
                    micros,
                    () -> {
                        if (!off[0]) {
                            task.run();
                        }
                    },
                    mine);
            return () -> off[0] = true;
        };
        journal = new Journal(folder.resolve("journal"), DISK);
        shelf = SqliteDeadLetterStore.open(folder, 1 << 30);
        engine = new DeliveryEngine(timers, clock, settings, 5_000, new KillableJournal(), DefaultDeliveryPolicy::new);
        Map<String, RedrivePolicy.Shelved> shelves = new HashMap<>();
        settings.classes().forEach(t -> shelves.put(t.name(), new RedrivePolicy.Shelved(t, 60 * SECOND)));
        desk = new DeadLetterService(
                timers,
                clock,
                engine,
                new Queue(mine),
                new DeadLetterService.Options(
                        shelves,
                        new RedrivePolicy(SECOND / 2, SECOND),
                        2,
                        1 << 30,
                        1 << 29,
                        1_000_000,
                        true,
                        3_600 * SECOND));
        engine.setDeadLetterSink(desk);
        engine.attach(
                new SimPartners(mine),
                message -> at(
                        random.nextInt(50_000),
                        () -> {
                            if (message.completion().isRejected()) {
                                refused.add(message.content().messageId());
                            }
                            engine.onCompletionAcknowledged(message);
                        },
                        mine));
        List<Endpoint> targets = new ArrayList<>();
        for (int d = 0; d < DESTINATIONS; d++) {
            for (int r = 0; r < 2; r++) {
                targets.add(new Endpoint(
                        new EndpointEntry("d" + d + "r" + r, d, "k", "b" + r, Availability.LISTED, 0), null));
            }
        }
        engine.start(EndpointListKind.FULL, 1, targets);
        desk.start();
        persons(mine);
    }

    private final class KillableJournal implements WriteAheadLog {
        @Override
        public long nextSequenceNumber() {
            return journal.nextSequenceNumber();
        }

        @Override
        public List<Message> openMessages() {
            return journal.openMessages();
        }

        @Override
        public boolean recordAccepted(Message message) {
            resends += message.deadLetterId() != 0 ? 1 : 0;
            return write(() -> journal.recordAccepted(message));
        }

        @Override
        public boolean recordAttempt(Message.Attempt attempt) {
            return write(() -> journal.recordAttempt(attempt));
        }

        @Override
        public void recordOutcome(Message.Attempt attempt) {
            write(() -> {
                journal.recordOutcome(attempt);
                return 0;
            });
        }

        @Override
        public void recordCompletion(Message message) {
            write(() -> {
                journal.recordCompletion(message);
                return 0;
            });
        }

        @Override
        public void recordDone(Message message) {
            write(() -> {
                journal.recordDone(message);
                return 0;
            });
        }
    }

    /** The store's thread: later, in order, and turned away at times. */
    private final class Queue implements DeadLetterStoreQueue {
        private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
        private final int whose;

        Queue(int whose) {
            this.whose = whose;
        }

        @Override
        public <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed) {
            if (random.nextInt(50) == 0) {
                return false;
            }
            tasks.add(() -> {
                T result = write(() -> task.apply(shelf));
                at(random.nextInt(2_000), () -> then.accept(forgetful ? forget(result) : result), whose);
            });
            at(random.nextInt(3_000), () -> tasks.poll().run(), whose);
            return true;
        }
    }

    /** Takes the rule away that an unknown outcome is no proof. */
    @SuppressWarnings("unchecked")
    private static <T> T forget(T result) {
        if (result instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof DeadLetter) {
            return (T) list.stream().map(e -> forgotten((DeadLetter) e)).toList();
        }
        return result;
    }

    private static DeadLetter forgotten(DeadLetter e) {
        return new DeadLetter(
                e.id(),
                e.content(),
                e.storedAtMicros(),
                e.reason(),
                e.clientReply(),
                e.state(),
                e.dueMicros(),
                e.confirmation(),
                e.redrives(),
                e.tries().stream()
                        .map(t -> new DeadLetter.Attempt(
                                t.route(),
                                t.zone(),
                                t.sentAtMicros(),
                                t.certainty() == ExecutionCertainty.MAYBE ? AttemptOutcome.NOT_SENT : t.outcome()))
                        .toList());
    }

    /** Partners that answer, refuse, reset before and after the last byte, fall silent and answer late. */
    private final class SimPartners implements UpstreamClient {
        private final int whose;
        private final Set<Message.Attempt> out = new HashSet<>();

        SimPartners(int whose) {
            this.whose = whose;
        }

        @Override
        public void onEndpointList(EndpointListKind kind, List<Endpoint> targets) {}

        @Override
        public void send(String route, List<OutboundAttempt> outgoing) {
            outgoing.forEach(o -> send(route, o));
        }

        private void end(Message.Attempt attempt, AttemptOutcome result, boolean over) {
            if (out.remove(attempt)) {
                engine.onAttemptCompleted(attempt, result, over, 0, LimitReport.NONE);
            }
        }

        private void send(String route, OutboundAttempt o) {
            Message.Attempt attempt = o.attempt();
            out.add(attempt);
            Message.Content c = attempt.message().content();
            int building = route.charAt(route.length() - 1) - '0';
            long delay = 10_000 + random.nextInt(150_000);
            at(o.timeoutMicros(), () -> end(attempt, AttemptOutcome.TIMEOUT, false), whose);
            int fate = random.nextInt(outage ? 10 : 20);
            if (fate < 2) {
                at(delay, () -> end(attempt, AttemptOutcome.CONNECT_FAILED, false), whose);
            } else if (fate < 4) {
                at(delay, () -> end(attempt, AttemptOutcome.REJECTED, false), whose);
            } else if (fate < 5) {
                at(delay, () -> end(attempt, AttemptOutcome.RESET, false), whose);
            } else if (fate < 8) {
                // It runs, at some time, and the connection breaks, or answers late, or never.
                long runs = random.nextInt(6_000_000);
                runs(c, building, runs);
                if (fate == 5) {
                    at(delay, () -> end(attempt, AttemptOutcome.RESET, false), whose);
                } else if (fate == 6) {
                    at(
                            Math.max(runs + 10_000, o.timeoutMicros() + random.nextInt(9_000_000)),
                            () -> {
                                if (!out.contains(attempt)) {
                                    engine.onLateDelivery(attempt);
                                }
                            },
                            whose);
                }
            } else if (fate < 9) {
                return;
            } else {
                runs(c, building, delay);
                at(delay + 1, () -> end(attempt, AttemptOutcome.OK, true), whose);
            }
        }

        /** A keyed call begins, and is remembered, when its last byte has come; others run when they like. */
        private void runs(Message.Content c, int building, long late) {
            long after = c.requestClass().equals("keyed") ? 10_000 : late;
            world.pending.merge(c.messageId(), 1, Integer::sum);
            at(
                    after,
                    () -> {
                        world.pending.merge(c.messageId(), -1, Integer::sum);
                        world.post(c.messageId(), c.requestClass(), c.key(), building, now);
                    },
                    0);
        }

        @Override
        public void cancel(Message.Attempt attempt) {
            end(attempt, AttemptOutcome.CANCELLED, false);
        }

        @Override
        public void probe(String route) {
            throw new AssertionError("no probes here");
        }

        @Override
        public void closeIdleConnections(String route) {}
    }

    /** Persons look at what is kept, and speak truly of what the partner has posted. */
    private void persons(int whose) {
        at(
                500_000 + random.nextInt(4_000_000),
                () -> {
                    if (now > ends) {
                        return;
                    }
                    List<DeadLetter> kept = shelf.list(
                            new DeadLetterStore.Filter(DeadLetter.State.KEPT, null, null, null, null, 0, 0),
                            0,
                            100,
                            true);
                    if (!kept.isEmpty()) {
                        DeadLetter entry = kept.get(random.nextInt(kept.size()));
                        String id = entry.content().messageId();
                        boolean posted = world.effects.containsKey(id) || world.pending.getOrDefault(id, 0) > 0;
                        int what = random.nextInt(4);
                        if (what == 0 && !posted) {
                            DeadLetter.Confirmation word = new DeadLetter.Confirmation(
                                    "clerk", "not in their books", entry.tries().size(), now + skew);
                            words += write(() -> shelf.recordConfirmation(entry.id(), word, 0)) ? 1 : 0;
                        } else if (what == 1 && random.nextInt(20) == 0) {
                            if (write(() -> shelf.transition(
                                    entry.id(), DeadLetter.State.KEPT, DeadLetter.State.DISCARDED, 0))) {
                                discarded.add(id);
                            }
                        } else {
                            // Two at once: only one of them may win.
                            desk.redrive(forgetful ? forgotten(entry) : entry, v -> {});
                            desk.redrive(forgetful ? forgotten(entry) : entry, v -> {});
                        }
                    }
                    persons(whose);
                },
                whose);
    }

    // ---- a run

    private Count play() throws IOException {
        mostKills = random.nextInt(7);
        start();
        for (int i = 0; i < MESSAGES; i++) {
            String type = List.of("safe", "keyed", "unsafe", "unsafe").get(random.nextInt(4));
            String id = "m" + i;
            world.types.put(id, type);
            int destination = random.nextInt(DESTINATIONS);
            at(random.nextInt(8_000_000), () -> handIn(id, type, destination), 0);
        }
        at(random.nextInt(4_000_000), () -> outage = true, 0);
        at(8_000_000 + random.nextInt(10_000_000), () -> outage = false, 0);
        drain(now + 20 * SECOND);
        if (engine.isIdle() && random.nextBoolean()) {
            // The clock is set while the relay is down.
            skew = (random.nextInt(61) - 30) * SECOND;
            restart();
        }
        ends = now + 80 * SECOND;
        drain(now + 130 * SECOND);
        Count count = count();
        journal.close();
        shelf.close();
        return count;
    }

    private void handIn(String id, String type, int destination) {
        if (down) {
            return;
        }
        Message.Content content = new Message.Content(
                id,
                type,
                null,
                type.equals("keyed") ? "key-" + id : null,
                now + skew + 4 * SECOND,
                destination,
                new byte[10]);
        engine.accept(content, now + skew, new Message.ClientReply() {
            @Override
            public void accepted() {
                taken.add(id);
            }

            @Override
            public void rejected(long retryIn) {}

            @Override
            public void failed() {}
        });
    }

    private Count count() {
        Map<String, DeadLetter> entries = new HashMap<>();
        int torn = 0;
        for (DeadLetter entry : shelf.list(DeadLetterStore.Filter.ALL, 0, Integer.MAX_VALUE, false)) {
            torn += entries.put(entry.content().messageId(), entry) != null ? 1 : 0;
        }
        Set<String> open = new HashSet<>();
        journal.openMessages().forEach(m -> open.add(m.content().messageId()));
        int doubles = 0;
        int lost = 0;
        int delivered = 0;
        int kept = 0;
        int refusals = 0;
        int gone = 0;
        for (String id : taken) {
            int effects = world.effects.getOrDefault(id, 0);
            doubles += effects > 1 && !world.types.get(id).equals("safe") ? 1 : 0;
            DeadLetter entry = entries.get(id);
            boolean isKept = entry != null
                    && (entry.state() == DeadLetter.State.KEPT || entry.state() == DeadLetter.State.REDRIVING);
            boolean isGone = entry != null && entry.state() == DeadLetter.State.DISCARDED;
            boolean isRefused = refused.contains(id);
            boolean isDelivered = effects > 0 && !isKept && !isGone && !isRefused;
            if (!forgetful && (effects > 1 && !world.types.get(id).equals("safe") || open.contains(id))) {
                System.out.println("seed " + seed + ": " + id + " " + world.types.get(id) + " effects " + effects
                        + world.postings.stream()
                                .filter(p -> p.startsWith(id + " "))
                                .toList() + " open "
                        + open.contains(id) + " " + entry + " " + (entry == null ? "" : entry.tries()));
            }
            // Said to be delivered, and never posted, is lost too.
            lost += !isDelivered && !isKept && !isGone && !isRefused && !open.contains(id) ? 1 : 0;
            torn += isRefused && entry != null || open.contains(id) ? 1 : 0;
            delivered += isDelivered ? 1 : 0;
            kept += isKept ? 1 : 0;
            refusals += isRefused ? 1 : 0;
            gone += isGone ? 1 : 0;
        }
        return new Count(1, taken.size(), doubles, lost, torn, delivered, kept, refusals, gone, resends, kills, words);
    }

    /** Runs so many, from a seed on. */
    static Count runs(int runs, long firstSeed, boolean forgetful) throws IOException {
        Count all = new Count(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
        for (int i = 0; i < runs; i++) {
            Count one = run(firstSeed + i, forgetful);
            if (!forgetful && one.doubles + one.lost + one.torn > 0) {
                System.out.println("seed " + (firstSeed + i) + ": " + one);
            }
            all = all.plus(one);
        }
        return all;
    }

    /** Prints the count of a campaign. */
    public static void main(String[] args) throws IOException {
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 2_000;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        System.out.println(runs(runs, seed, args.length > 2 && args[2].equals("forgetful")));
    }
}
