package loftflow.deadletter;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.config.tool.ConfigTool;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.engine.Message;
import loftflow.fake.FakeClient;
import loftflow.fake.FakePartner;
import loftflow.fake.ServedRelay;
import loftflow.fake.TemporaryFolder;
import loftflow.policy.api.AttemptOutcome;

/**
 * Benchmarks of the dead-letter store, selected by the first argument: {@code store} (dead letters stored per second,
 * queries over 100,000 entries, memory), {@code cost} (a relay with the store on and off, measured alternately),
 * {@code cold} (a backlog of 10,000 for one destination that recovers with the given limit of messages per second).
 */
public final class DeadLetterBenchmark {
    private static final int LIVE_MESSAGES = 900;

    private DeadLetterBenchmark() {}

    /** Runs the benchmark named by the first argument. */
    public static void main(String[] args) throws Exception {
        try (TemporaryFolder scratch = TemporaryFolder.named("measure")) {
            Path folder = scratch.folder();
            switch (args.length >= 1 ? args[0] : "") {
                case "store" -> measureStore(folder);
                case "cost" -> compareCost(folder);
                case "cold" -> measureColdRecovery(folder, Integer.parseInt(args[1]));
                default -> System.out.println("store, cost or cold LIMIT");
            }
        }
    }

    private static DeadLetter deadLetter(int index, int destination) {
        long nowMicros = System.currentTimeMillis() * 1000;
        return new DeadLetter(
                0,
                new Message.Content(
                        "m" + index,
                        index % 2 == 0 ? "settlement" : "car-order",
                        "acme",
                        "k" + index,
                        nowMicros + index,
                        destination,
                        new byte[300]),
                nowMicros + index,
                "full",
                "failed",
                DeadLetter.State.STORED,
                nowMicros,
                null,
                0,
                List.of(new DeadLetter.Attempt("elevator-1", "main", nowMicros - 1_000_000, AttemptOutcome.REJECTED)));
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    private static void measureStore(Path folder) throws Exception {
        Path manyFolder = folder.resolve("many");
        Files.createDirectories(manyFolder);
        try (DeadLetterStore store = SqliteDeadLetterStore.open(manyFolder, 1 << 30)) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < 100_000; i++) {
                store.put(deadLetter(i, i % 500));
            }
            print(
                    "%.0f dead letters a second stored, each in a transaction",
                    100_000 / ((System.nanoTime() - startNanos) / 1e9));
            for (DeadLetterStore.Filter filter : List.of(
                    DeadLetterStore.Filter.ALL,
                    new DeadLetterStore.Filter(DeadLetter.State.STORED, 7, null, null, null, 0, 0),
                    new DeadLetterStore.Filter(
                            null, null, "settlement", "acme", ExecutionCertainty.NOT_EXECUTED, 0, 0))) {
                startNanos = System.nanoTime();
                int found = store.list(filter, 0, 500, false).size();
                print("%s: %d in %.0f ms", filter, found, (System.nanoTime() - startNanos) / 1e6);
            }
            startNanos = System.nanoTime();
            int all = store.list(DeadLetterStore.Filter.ALL, 0, Integer.MAX_VALUE, false)
                    .size();
            print("all %d with their attempts in %.0f ms", all, (System.nanoTime() - startNanos) / 1e6);
            startNanos = System.nanoTime();
            int due = store.findDue(Long.MAX_VALUE - 1, 100, 64).size();
            print(
                    "the %d most urgent of 500 destinations in %.1f ms; %s",
                    due, (System.nanoTime() - startNanos) / 1e6, store.size());
        }
        try (FakePartner partner = new FakePartner(1, 0)) {
            for (String name : List.of("few", "many")) {
                ServedRelay relay = start(application(folder, name, true, partner, 1));
                Thread.sleep(6_000);
                print("resident with %s entries: %d kB", name.equals("many") ? "100,000" : "no", relay.residentKib());
                relay.close();
            }
        }
    }

    private static Path application(
            Path folder, String name, boolean isStoreOn, FakePartner partner, double redrivesPerSecond)
            throws Exception {
        Path file = Files.writeString(
                folder.resolve(name + ".toml"),
                """
                format = 1
                name = "%s"
                [machine]
                memory = "192MiB"
                descriptors = 256
                disk = "128MiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [undeliverable]
                keep = %s
                limit = "32MiB"
                pace = "%.0f/s"
                [[class]]
                name = "settlement"
                repeat = "once"
                wanted = "1s"
                deadline = "5s"
                peak-rate = "60/s"
                [[partner]]
                name = "elevator"
                number = 7
                kind = "elevators"
                response = "100ms"
                [[partner.endpoint]]
                id = "elevator-1"
                address = "%s"
                """
                        .formatted(name, folder.resolve(name), isStoreOn, redrivesPerSecond, partner.address()));
        ConfigTool.Outcome outcome = ConfigTool.write(file, folder, true);
        if (outcome.after() == null) {
            throw new IOException(outcome.findings().toString());
        }
        return outcome.file();
    }

    private static ServedRelay start(Path file) throws Exception {
        return ServedRelay.start(file, Path.of(file + ".log"), "-Xmx72m").awaitServing();
    }

    private static void compareCost(Path folder) throws Exception {
        try (FakePartner partner = new FakePartner(1, 0)) {
            Map<Boolean, ServedRelay> relays = new HashMap<>();
            Map<Boolean, Path> configFiles = new HashMap<>();
            for (boolean isStoreOn : new boolean[] {false, true}) {
                configFiles.put(isStoreOn, application(folder, isStoreOn ? "on" : "off", isStoreOn, partner, 1));
                relays.put(isStoreOn, start(configFiles.get(isStoreOn)));
            }
            double[][] sums = new double[2][2];
            for (int round = 0; round < 9; round++) {
                for (boolean isStoreOn : new boolean[] {round % 2 == 0, round % 2 != 0}) {
                    double cpuSecondsBefore = relays.get(isStoreOn).cpuSeconds();
                    AtomicLong accepted = new AtomicLong();
                    long endNanos = System.nanoTime() + 2_500_000_000L;
                    List<Thread> threads = new ArrayList<>();
                    for (int t = 0; t < 24; t++) {
                        String prefix = round + "-" + isStoreOn + "-" + t + "-";
                        Thread thread = new Thread(() -> sendUntil(relays.get(isStoreOn), prefix, endNanos, accepted));
                        threads.add(thread);
                        thread.start();
                    }
                    for (Thread thread : threads) {
                        thread.join();
                    }
                    // The first round warms up both relays.
                    if (round > 0) {
                        sums[isStoreOn ? 1 : 0][0] += accepted.get();
                        sums[isStoreOn ? 1 : 0][1] += relays.get(isStoreOn).cpuSeconds() - cpuSecondsBefore;
                    }
                }
            }
            print(
                    "off: %.0f messages a second, %.0f us CPU each; on: %.0f a second, %.0f us; ratio of rates %.3f, of CPU %.3f",
                    sums[0][0] / 20,
                    sums[0][1] * 1e6 / sums[0][0],
                    sums[1][0] / 20,
                    sums[1][1] * 1e6 / sums[1][0],
                    sums[1][0] / sums[0][0],
                    sums[1][1] / sums[1][0] / (sums[0][1] / sums[0][0]));
            print(
                    "resident: off %d kB, on %d kB",
                    relays.get(false).residentKib(), relays.get(true).residentKib());
            for (ServedRelay relay : relays.values()) {
                relay.close();
            }
            try (DeadLetterStore store = SqliteDeadLetterStore.openReadOnly(folder.resolve("on"))) {
                print("stored meanwhile: %d", store.size().entries());
            }
        }
    }

    private static void sendUntil(ServedRelay relay, String prefix, long endNanos, AtomicLong accepted) {
        try (FakeClient client = relay.client()) {
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                if (client.handIn(prefix + i, "settlement", null, null, 7, 5000, "x") == 202) {
                    accepted.incrementAndGet();
                }
            }
        } catch (IOException e) {
            print("%s", e);
        }
    }

    private static void measureColdRecovery(Path folder, int limit) throws Exception {
        for (boolean hasBacklog : new boolean[] {false, true}) {
            try (FakePartner partner = new FakePartner(40, limit)) {
                String name = hasBacklog ? "backlog" : "none";
                Path file = application(folder, name, true, partner, 5);
                Files.createDirectories(folder.resolve(name));
                if (hasBacklog) {
                    try (DeadLetterStore store = SqliteDeadLetterStore.open(folder.resolve(name), 1 << 30)) {
                        for (int i = 0; i < 10_000; i++) {
                            store.put(deadLetter(2 * i, 7));
                        }
                    }
                }
                partner.setBehavior(FakePartner.Behavior.UNAVAILABLE);
                ServedRelay relay = start(file);
                // Live traffic fails in both runs, so that the decision module warms up the endpoint after its
                // recovery with and without a backlog.
                try (FakeClient client = relay.client()) {
                    for (int i = 0; i < 40; i++) {
                        client.handIn("early" + i, "settlement", null, null, 7, 5000, "x");
                        Thread.sleep(200);
                    }
                }
                partner.setBehavior(FakePartner.Behavior.NORMAL);
                Thread.sleep(20_000);
                Map<String, Long> acceptedAtNanos = new HashMap<>();
                try (FakeClient client = relay.client()) {
                    for (int i = 0; i < LIVE_MESSAGES; i++) {
                        acceptedAtNanos.put("live" + i, System.nanoTime());
                        client.handIn("live" + i, "settlement", null, null, 7, 5000, "x");
                        Thread.sleep(70 + i * 37 % 60);
                    }
                }
                Thread.sleep(6_000);
                report(name, limit, partner, acceptedAtNanos, relay.residentKib());
                relay.close();
            }
        }
    }

    private static void report(
            String name, int limit, FakePartner partner, Map<String, Long> acceptedAtNanos, long residentKib) {
        List<FakePartner.Posting> calls = partner.postings();
        int busiestSecond = 0;
        for (int from = 0, to = 0; to < calls.size(); to++) {
            while (calls.get(to).atNanos() - calls.get(from).atNanos() >= 1_000_000_000L) {
                from++;
            }
            busiestSecond = Math.max(busiestSecond, to - from + 1);
        }
        List<Double> latenciesMillis = calls.stream()
                .filter(c -> c.ran() && acceptedAtNanos.containsKey(c.id()))
                .map(c -> (c.atNanos() - acceptedAtNanos.get(c.id())) / 1e6)
                .sorted()
                .toList();
        print(
                "%s: busiest second %d calls of %d allowed, %d redrives, %d of %d live, p50 %.1f ms, p99 %.1f ms, %d twice,"
                        + " %d kB",
                name,
                busiestSecond,
                limit,
                partner.effects().keySet().stream()
                        .filter(i -> i.startsWith("m"))
                        .count(),
                latenciesMillis.size(),
                LIVE_MESSAGES,
                latenciesMillis.get(latenciesMillis.size() / 2),
                latenciesMillis.get((int) (latenciesMillis.size() * 0.99)),
                partner.effects().values().stream().filter(n -> n > 1).count(),
                residentKib);
    }
}
