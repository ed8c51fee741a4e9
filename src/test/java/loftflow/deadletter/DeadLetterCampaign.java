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
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PolicySettings;

/**
 * Runs the real engine, decision module, journal, service and store in virtual time with seeded random faults: upstream
 * failures of all kinds, crashes before and after any write, operators' actions, and clock changes. The executions at
 * the destinations are counted independently of the state of the relay.
 *
 * <p>{@code DeadLetterCampaign RUNS [FIRST_SEED] [forgetful]} prints the totals; {@code forgetful} treats every unknown
 * outcome as a proof that the message was not executed, and must find duplicates.
 */
public final class DeadLetterCampaign {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int MESSAGES = 14;
    private static final int DESTINATIONS = 3;
    private static final long JOURNAL_BYTES = 3 << 20;

    /** Simulates a crash of the process. */
    private static final class CrashError extends Error {
        private static final long serialVersionUID = 1L;
    }

    private record ScheduledTask(long atMicros, long order, Runnable task, int process) {}

    private final long seed;
    private final Random random;
    private final Path folder;
    private final boolean ignoresUnknownOutcomes;
    private final DestinationModel destinations = new DestinationModel();
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMicros).thenComparingLong(ScheduledTask::order));
    private final Set<String> acceptedIds = new HashSet<>();
    private final Set<String> rejectedIds = new HashSet<>();
    private final Set<String> discardedIds = new HashSet<>();
    private long nowMicros = 1_000_000 * SECOND_MICROS;
    private long clockSkewMicros;
    private long order;
    /** Number of the current process. Tasks of process 0 belong to the destinations and survive crashes. */
    private int process = 1;

    private int writesUntilCrash;
    private int crashes;
    private int confirmations;
    private int maxCrashes;
    private boolean isOutage;
    private boolean isDown;
    /** Time at which operators stop acting. */
    private long operatorsEndMicros = Long.MAX_VALUE;

    private Journal journal;
    private SqliteDeadLetterStore store;
    private DeliveryEngine engine;
    private DeadLetterService service;
    private int redrives;

    private DeadLetterCampaign(long seed, Path folder, boolean ignoresUnknownOutcomes) {
        this.seed = seed;
        random = new Random(seed);
        this.folder = folder;
        this.ignoresUnknownOutcomes = ignoresUnknownOutcomes;
    }

    /** Performs the run with a seed. */
    static CampaignResult run(long seed, boolean ignoresUnknownOutcomes) throws IOException {
        try (TemporaryFolder scratch = TemporaryFolder.named("campaign")) {
            return new DeadLetterCampaign(seed, scratch.folder(), ignoresUnknownOutcomes).execute();
        }
    }

    private void schedule(long delayMicros, Runnable task, int owner) {
        queue.add(new ScheduledTask(nowMicros + Math.max(0, delayMicros), order++, task, owner));
    }

    /** Performs a write; the process may crash before or after it. */
    private <T> T write(java.util.function.Supplier<T> write) {
        boolean isCrashing = --writesUntilCrash == 0;
        if (isCrashing && random.nextBoolean()) {
            throw new CrashError();
        }
        T result = write.get();
        if (isCrashing) {
            throw new CrashError();
        }
        return result;
    }

    private void advance(long endMicros) {
        while (!queue.isEmpty() && queue.peek().atMicros() <= endMicros) {
            ScheduledTask due = queue.poll();
            nowMicros = Math.max(nowMicros, due.atMicros());
            if (due.process() != 0 && due.process() != process) {
                continue;
            }
            try {
                due.task().run();
            } catch (CrashError e) {
                restart();
            }
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }

    /** Advances the time while the relay is down. Destinations still execute messages received before the crash. */
    private void advanceWithoutRelay(long endMicros) {
        isDown = true;
        while (!queue.isEmpty() && queue.peek().atMicros() <= endMicros) {
            ScheduledTask due = queue.poll();
            if (due.process() == 0) {
                nowMicros = Math.max(nowMicros, due.atMicros());
                due.task().run();
            }
        }
        nowMicros = endMicros;
        isDown = false;
    }

    private void restart() {
        crashes++;
        process++;
        try {
            journal.close();
            store.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        advanceWithoutRelay(nowMicros + random.nextInt(3_000_000));
        while (true) {
            try {
                start();
                return;
            } catch (CrashError e) {
                crashes++;
                process++;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    private void start() throws IOException {
        int currentProcess = process;
        writesUntilCrash = crashes < maxCrashes ? 1 + random.nextInt(60) : Integer.MAX_VALUE;
        PolicySettings settings = CampaignSettings.ofSeed(random.nextLong());
        Clock clock = () -> nowMicros + clockSkewMicros;
        Timers timers = (micros, task) -> {
            boolean[] isCancelled = new boolean[1];
            schedule(
                    micros,
                    () -> {
                        if (!isCancelled[0]) {
                            task.run();
                        }
                    },
                    currentProcess);
            return () -> isCancelled[0] = true;
        };
        journal = new Journal(folder.resolve("journal"), JOURNAL_BYTES);
        store = SqliteDeadLetterStore.open(folder, 1 << 30);
        engine = new DeliveryEngine(timers, clock, settings, 5_000, new CrashingJournal(), DefaultDeliveryPolicy::new);
        Map<String, RedriveClass> redriveClasses = new HashMap<>();
        settings.classes()
                .forEach(requestClass ->
                        redriveClasses.put(requestClass.name(), new RedriveClass(requestClass, 60 * SECOND_MICROS)));
        service = new DeadLetterService(
                timers,
                clock,
                engine,
                new VirtualStoreQueue(currentProcess),
                new DeadLetterService.Options(
                        redriveClasses,
                        new RedrivePolicy(SECOND_MICROS / 2, SECOND_MICROS),
                        2,
                        1 << 30,
                        1 << 29,
                        1_000_000,
                        true,
                        3_600 * SECOND_MICROS));
        engine.setDeadLetterSink(service);
        engine.attach(
                new FaultyUpstream(currentProcess),
                message -> schedule(
                        random.nextInt(50_000),
                        () -> {
                            if (message.completion().isRejected()) {
                                rejectedIds.add(message.content().messageId());
                            }
                            engine.onCompletionAcknowledged(message);
                        },
                        currentProcess));
        List<Endpoint> endpoints = new ArrayList<>();
        for (int d = 0; d < DESTINATIONS; d++) {
            for (int r = 0; r < 2; r++) {
                endpoints.add(new Endpoint(
                        new EndpointEntry("d" + d + "r" + r, d, "k", "b" + r, Availability.LISTED, 0), null));
            }
        }
        engine.start(EndpointListKind.FULL, 1, endpoints);
        service.start();
        scheduleOperator(currentProcess);
    }

    private final class CrashingJournal implements WriteAheadLog {
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
            redrives += message.deadLetterId() != 0 ? 1 : 0;
            return write(() -> journal.recordAccepted(message));
        }

        @Override
        public boolean recordReopened(Message message) {
            return write(() -> journal.recordReopened(message));
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
        public boolean hasUnwrittenRecords() {
            return journal.hasUnwrittenRecords();
        }

        @Override
        public boolean recordCompletion(Message message) {
            return write(() -> journal.recordCompletion(message));
        }

        @Override
        public boolean recordDone(Message message) {
            return write(() -> journal.recordDone(message));
        }
    }

    /** Runs store tasks in order after a random delay, and rejects some. */
    private final class VirtualStoreQueue implements DeadLetterStoreQueue {
        private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
        private final int owner;

        VirtualStoreQueue(int owner) {
            this.owner = owner;
        }

        @Override
        public <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> onResult, Runnable onFailure) {
            if (random.nextInt(50) == 0) {
                return false;
            }
            tasks.add(() -> {
                T result = write(() -> task.apply(store));
                schedule(
                        random.nextInt(2_000),
                        () -> onResult.accept(ignoresUnknownOutcomes ? withoutUnknownOutcomes(result) : result),
                        owner);
            });
            schedule(random.nextInt(3_000), () -> tasks.poll().run(), owner);
            return true;
        }
    }

    /** Replaces every unknown outcome by one that proves that the message was not executed. */
    @SuppressWarnings("unchecked")
    private static <T> T withoutUnknownOutcomes(T result) {
        if (result instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof DeadLetter) {
            return (T) list.stream()
                    .map(deadLetter -> withProvenOutcomes((DeadLetter) deadLetter))
                    .toList();
        }
        return result;
    }

    private static DeadLetter withProvenOutcomes(DeadLetter deadLetter) {
        return new DeadLetter(
                deadLetter.id(),
                deadLetter.content(),
                deadLetter.storedAtMicros(),
                deadLetter.reason(),
                deadLetter.clientReply(),
                deadLetter.state(),
                deadLetter.dueMicros(),
                deadLetter.confirmation(),
                deadLetter.redrives(),
                deadLetter.attempts().stream()
                        .map(attempt -> new DeadLetter.Attempt(
                                attempt.route(),
                                attempt.zone(),
                                attempt.sentAtMicros(),
                                attempt.certainty() == ExecutionCertainty.UNKNOWN
                                        ? AttemptOutcome.NOT_SENT
                                        : attempt.outcome()))
                        .toList());
    }

    /** Endpoints that respond, reject, reset before or after the last byte, hang, or respond late. */
    private final class FaultyUpstream implements UpstreamClient {
        private final int owner;
        private final Set<Message.Attempt> inFlight = new HashSet<>();

        FaultyUpstream(int owner) {
            this.owner = owner;
        }

        @Override
        public void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {}

        @Override
        public void send(String route, List<OutboundAttempt> outgoing) {
            outgoing.forEach(outgoingAttempt -> send(route, outgoingAttempt));
        }

        private void complete(Message.Attempt attempt, AttemptOutcome result, boolean isDelivered) {
            if (inFlight.remove(attempt)) {
                engine.onAttemptCompleted(attempt, result, isDelivered, 0, LimitReport.NONE);
            }
        }

        private void send(String route, OutboundAttempt outgoingAttempt) {
            Message.Attempt attempt = outgoingAttempt.attempt();
            inFlight.add(attempt);
            Message.Content content = attempt.message().content();
            int zone = route.charAt(route.length() - 1) - '0';
            long responseDelayMicros = 10_000 + random.nextInt(150_000);
            schedule(outgoingAttempt.timeoutMicros(), () -> complete(attempt, AttemptOutcome.TIMEOUT, false), owner);
            int outcome = random.nextInt(isOutage ? 10 : 20);
            if (outcome < 2) {
                schedule(responseDelayMicros, () -> complete(attempt, AttemptOutcome.CONNECT_FAILED, false), owner);
            } else if (outcome < 4) {
                schedule(responseDelayMicros, () -> complete(attempt, AttemptOutcome.REJECTED, false), owner);
            } else if (outcome < 5) {
                schedule(responseDelayMicros, () -> complete(attempt, AttemptOutcome.RESET, false), owner);
            } else if (outcome < 8) {
                // The message is executed after a delay; the connection is reset, or the response is late or missing.
                long executionDelayMicros = random.nextInt(6_000_000);
                scheduleExecution(content, zone, executionDelayMicros);
                if (outcome == 5) {
                    schedule(responseDelayMicros, () -> complete(attempt, AttemptOutcome.RESET, false), owner);
                } else if (outcome == 6) {
                    schedule(
                            Math.max(
                                    executionDelayMicros + 10_000,
                                    outgoingAttempt.timeoutMicros() + random.nextInt(9_000_000)),
                            () -> {
                                if (!inFlight.contains(attempt)) {
                                    engine.onLateDelivery(attempt, true);
                                }
                            },
                            owner);
                }
            } else if (outcome < 9) {
                return;
            } else {
                scheduleExecution(content, zone, responseDelayMicros);
                schedule(responseDelayMicros + 1, () -> complete(attempt, AttemptOutcome.OK, true), owner);
            }
        }

        /** Executes a keyed message and stores its key once its last byte has arrived; others after the delay. */
        private void scheduleExecution(Message.Content content, int zone, long executionDelayMicros) {
            long delayMicros = content.requestClass().equals("keyed") ? 10_000 : executionDelayMicros;
            destinations.pendingExecutions.merge(content.messageId(), 1, Integer::sum);
            schedule(
                    delayMicros,
                    () -> {
                        destinations.pendingExecutions.merge(content.messageId(), -1, Integer::sum);
                        destinations.execute(
                                content.messageId(), content.requestClass(), content.key(), zone, nowMicros);
                    },
                    0);
        }

        @Override
        public void cancel(Message.Attempt attempt) {
            complete(attempt, AttemptOutcome.CANCELLED, false);
        }

        @Override
        public void probe(String route) {
            throw new AssertionError("probes are off");
        }

        @Override
        public void closeIdleConnections(String route) {}
    }

    /** Simulates operators who inspect dead letters and confirm only messages that the destination has not executed. */
    private void scheduleOperator(int owner) {
        schedule(
                500_000 + random.nextInt(4_000_000),
                () -> {
                    if (nowMicros > operatorsEndMicros) {
                        return;
                    }
                    List<DeadLetter> stored = store.list(
                            new DeadLetterStore.Filter(DeadLetter.State.STORED, null, null, null, null, 0, 0),
                            0,
                            100,
                            true);
                    if (!stored.isEmpty()) {
                        DeadLetter entry = stored.get(random.nextInt(stored.size()));
                        String id = entry.content().messageId();
                        boolean isExecuted = destinations.executions.containsKey(id)
                                || destinations.pendingExecutions.getOrDefault(id, 0) > 0;
                        int action = random.nextInt(4);
                        if (action == 0 && !isExecuted) {
                            DeadLetter.Confirmation confirmation = new DeadLetter.Confirmation(
                                    "clerk", "not executed", entry.attempts().size(), nowMicros + clockSkewMicros);
                            confirmations += write(() -> store.recordConfirmation(entry.id(), confirmation, 0)) ? 1 : 0;
                        } else if (action == 1 && random.nextInt(20) == 0) {
                            if (write(() -> store.transition(
                                    entry.id(), DeadLetter.State.STORED, DeadLetter.State.DISCARDED, 0))) {
                                discardedIds.add(id);
                            }
                        } else {
                            // Two concurrent redrives: only one of them may be sent.
                            service.redrive(ignoresUnknownOutcomes ? withProvenOutcomes(entry) : entry, decision -> {});
                            service.redrive(ignoresUnknownOutcomes ? withProvenOutcomes(entry) : entry, decision -> {});
                        }
                    }
                    scheduleOperator(owner);
                },
                owner);
    }

    private CampaignResult execute() throws IOException {
        maxCrashes = random.nextInt(7);
        start();
        for (int i = 0; i < MESSAGES; i++) {
            String requestClass = List.of("safe", "keyed", "unsafe", "unsafe").get(random.nextInt(4));
            String id = "m" + i;
            destinations.classes.put(id, requestClass);
            int destination = random.nextInt(DESTINATIONS);
            schedule(random.nextInt(8_000_000), () -> accept(id, requestClass, destination), 0);
        }
        schedule(random.nextInt(4_000_000), () -> isOutage = true, 0);
        schedule(8_000_000 + random.nextInt(10_000_000), () -> isOutage = false, 0);
        advance(nowMicros + 20 * SECOND_MICROS);
        if (engine.isIdle() && random.nextBoolean()) {
            // The clock is changed between two processes.
            clockSkewMicros = (random.nextInt(61) - 30) * SECOND_MICROS;
            restart();
        }
        operatorsEndMicros = nowMicros + 80 * SECOND_MICROS;
        advance(nowMicros + 130 * SECOND_MICROS);
        CampaignResult result = countResults();
        journal.close();
        store.close();
        return result;
    }

    private void accept(String id, String requestClass, int destination) {
        if (isDown) {
            return;
        }
        Message.Content content = new Message.Content(
                id,
                requestClass,
                null,
                requestClass.equals("keyed") ? "key-" + id : null,
                nowMicros + clockSkewMicros + 4 * SECOND_MICROS,
                destination,
                new byte[10]);
        engine.accept(content, nowMicros + clockSkewMicros, new Message.ClientReply() {
            @Override
            public void accepted() {
                acceptedIds.add(id);
            }

            @Override
            public void rejected(long retryIn) {}

            @Override
            public void failed() {}
        });
    }

    private CampaignResult countResults() {
        Map<String, DeadLetter> entries = new HashMap<>();
        int inconsistent = 0;
        for (DeadLetter entry : store.list(DeadLetterStore.Filter.ALL, 0, Integer.MAX_VALUE, false)) {
            inconsistent += entries.put(entry.content().messageId(), entry) != null ? 1 : 0;
        }
        Set<String> openIds = new HashSet<>();
        journal.openMessages().forEach(message -> openIds.add(message.content().messageId()));
        int duplicates = 0;
        int lost = 0;
        int delivered = 0;
        int undelivered = 0;
        int rejected = 0;
        int discarded = 0;
        for (String id : acceptedIds) {
            int executions = destinations.executions.getOrDefault(id, 0);
            duplicates += executions > 1 && !destinations.classes.get(id).equals("safe") ? 1 : 0;
            DeadLetter entry = entries.get(id);
            boolean isUndelivered = entry != null
                    && (entry.state() == DeadLetter.State.STORED || entry.state() == DeadLetter.State.REDRIVING);
            boolean isDiscarded = entry != null && entry.state() == DeadLetter.State.DISCARDED;
            boolean isRejected = rejectedIds.contains(id);
            boolean isDelivered = executions > 0 && !isUndelivered && !isDiscarded && !isRejected;
            if (!ignoresUnknownOutcomes
                    && (executions > 1 && !destinations.classes.get(id).equals("safe") || openIds.contains(id))) {
                System.out.println(
                        "seed " + seed + ": " + id + " " + destinations.classes.get(id) + " effects " + executions
                                + destinations.executionLog.stream()
                                        .filter(line -> line.startsWith(id + " "))
                                        .toList() + " open "
                                + openIds.contains(id) + " " + entry + " " + (entry == null ? "" : entry.attempts()));
            }
            // A message that is reported as delivered but was never executed counts as lost.
            lost += !isDelivered && !isUndelivered && !isDiscarded && !isRejected && !openIds.contains(id) ? 1 : 0;
            inconsistent += isRejected && entry != null || openIds.contains(id) ? 1 : 0;
            delivered += isDelivered ? 1 : 0;
            undelivered += isUndelivered ? 1 : 0;
            rejected += isRejected ? 1 : 0;
            discarded += isDiscarded ? 1 : 0;
        }
        return new CampaignResult(
                1,
                acceptedIds.size(),
                duplicates,
                lost,
                inconsistent,
                delivered,
                undelivered,
                rejected,
                discarded,
                redrives,
                crashes,
                confirmations);
    }

    /** Performs runs with consecutive seeds and returns their totals. */
    static CampaignResult runs(int runs, long firstSeed, boolean ignoresUnknownOutcomes) throws IOException {
        CampaignResult total = new CampaignResult(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
        for (int i = 0; i < runs; i++) {
            CampaignResult result = run(firstSeed + i, ignoresUnknownOutcomes);
            if (!ignoresUnknownOutcomes && result.duplicates() + result.lost() + result.inconsistent() > 0) {
                System.out.println("seed " + (firstSeed + i) + ": " + result);
            }
            total = total.plus(result);
        }
        return total;
    }

    /** Runs a campaign and prints its totals. */
    public static void main(String[] args) throws IOException {
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 2_000;
        long firstSeed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        System.out.println(runs(runs, firstSeed, args.length > 2 && args[2].equals("forgetful")));
    }
}
