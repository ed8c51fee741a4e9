package loftflow.listener.http2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakePartner;
import loftflow.fake.ServedRelay;
import loftflow.fake.TemporaryFolder;

/**
 * Measures the HTTP/2 and HTTP/1.1 listeners. The commands are {@code load CORE} (messages per second, CPU time per
 * message, and latency at 70 % load, with the relay pinned to one core), {@code memory} (memory of idle connections and
 * open streams), {@code slow CORE} (latency of fast clients next to ten slow or flooding ones) and {@code standing}
 * (runs a relay for external clients until standard input ends).
 */
public final class Http2Benchmark {
    /** The number of connections, and of concurrent requests on each, which is 1 for HTTP/1.1. */
    private record Shape(boolean isHttp2, int connections, int streams) {
        @Override
        public String toString() {
            return isHttp2 ? "HTTP/2 " + connections + " x " + streams : "HTTP/1.1 " + connections;
        }
    }

    /** The result of a load. Latencies are sorted, in milliseconds from the time at which a request was due. */
    private record Outcome(long accepted, long rejected, List<Double> latencies) {
        /** Returns a quantile of the latencies; 0 if there are none. */
        double latency(double quantile) {
            return latencies.isEmpty()
                    ? 0
                    : latencies.get((int) Math.min(latencies.size() - 1, latencies.size() * quantile));
        }
    }

    private static final int ROUNDS = 2;
    private static final double SECONDS = 5;
    private static final String BODY = "x".repeat(300);
    private static final AtomicLong NEXT_ID = new AtomicLong();

    private Http2Benchmark() {}

    /** Runs the command in the arguments. */
    public static void main(String[] args) throws Exception {
        try (TemporaryFolder scratch = TemporaryFolder.named("measure")) {
            Path folder = scratch.folder();
            switch (args.length > 0 ? args[0] : "") {
                case "load" -> load(folder, args[1]);
                case "memory" -> memory(folder);
                case "slow" -> slow(folder, args[1]);
                case "standing" -> standing(folder);
                default -> print("commands: load CORE, memory, slow CORE or standing");
            }
        }
        System.exit(0);
    }

    private static void print(String form, Object... values) {
        System.out.println(String.format(Locale.ROOT, form, values));
    }

    private static ServedRelay startRelay(
            Path folder, String name, FakePartner partner, int descriptors, String frontSettings) throws Exception {
        Path application = Files.writeString(
                folder.resolve(name + ".toml"),
                """
                format = 1
                name = "%s"
                [machine]
                memory = "256MiB"
                descriptors = %d
                disk = "512MiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [[front]]
                protocol = "http2"
                listen = "127.0.0.1:0"
                %s
                [[class]]
                name = "settlement"
                repeat = "once"
                wanted = "1s"
                deadline = "2s"
                peak-rate = "5000/s"
                [[partner]]
                name = "elevator"
                number = 7
                kind = "elevators"
                response = "5ms"
                [[partner.endpoint]]
                id = "e1"
                address = "%s"
                """
                        .formatted(name, descriptors, folder.resolve(name), frontSettings, partner.address()));
        ConfigTool.Outcome outcome = ConfigTool.write(application, folder, true);
        if (outcome.after() == null) {
            throw new IOException(outcome.findings().toString());
        }
        ServedRelay relay = ServedRelay.start(
                        outcome.file(), folder.resolve(name + ".log"), "-Xmx160m", "-Dio.netty.allocator.type=unpooled")
                .awaitServing();
        while (!relay.log().contains("HTTP/2 on")) {
            Thread.sleep(10);
        }
        return relay;
    }

    private static void pinToCore(ServedRelay relay, String core) throws Exception {
        new ProcessBuilder(
                        "taskset",
                        "-a",
                        "-p",
                        "-c",
                        core,
                        Long.toString(relay.process().pid()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }

    // ---- load

    /**
     * Sends messages for a time, and returns the responses and latencies. Each latency is measured from the time at
     * which the message was due.
     *
     * @param rate messages per second; 0 to send as fast as responses arrive
     */
    private static Outcome sendLoad(ServedRelay relay, Shape shape, double seconds, double rate) throws Exception {
        AtomicLong accepted = new AtomicLong();
        AtomicLong rejected = new AtomicLong();
        ConcurrentLinkedQueue<Double> latencies = new ConcurrentLinkedQueue<>();
        AtomicLong nextMessage = new AtomicLong();
        long startNanos = System.nanoTime();
        long endNanos = startNanos + (long) (seconds * 1e9);
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < shape.connections(); c++) {
            Thread thread = new Thread(() -> {
                try {
                    if (shape.isHttp2()) {
                        sendOverHttp2(
                                relay, shape, startNanos, endNanos, rate, nextMessage, accepted, rejected, latencies);
                    } else {
                        sendOverHttp1(relay, startNanos, endNanos, rate, nextMessage, accepted, rejected, latencies);
                    }
                } catch (IOException | InterruptedException e) {
                    print("%s", e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return new Outcome(
                accepted.get(), rejected.get(), latencies.stream().sorted().toList());
    }

    /** Waits until the next message is due, and returns that time in nanoseconds; without a rate, it is due now. */
    private static long awaitDue(long startNanos, double rate, AtomicLong nextMessage) throws InterruptedException {
        if (rate <= 0) {
            return System.nanoTime();
        }
        long dueNanos = startNanos + (long) (nextMessage.getAndIncrement() * 1e9 / rate);
        TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
        return dueNanos;
    }

    private static void sendOverHttp1(
            ServedRelay relay,
            long startNanos,
            long endNanos,
            double rate,
            AtomicLong nextMessage,
            AtomicLong accepted,
            AtomicLong rejected,
            ConcurrentLinkedQueue<Double> latencies)
            throws IOException, InterruptedException {
        try (FakeClient client = relay.client()) {
            while (System.nanoTime() < endNanos) {
                long dueNanos = awaitDue(startNanos, rate, nextMessage);
                boolean isAccepted =
                        client.handIn("m" + NEXT_ID.getAndIncrement(), "settlement", null, null, 7, 2_000, BODY) == 202;
                (isAccepted ? accepted : rejected).incrementAndGet();
                latencies.add((System.nanoTime() - dueNanos) / 1e6);
            }
        }
    }

    private static void sendOverHttp2(
            ServedRelay relay,
            Shape shape,
            long startNanos,
            long endNanos,
            double rate,
            AtomicLong nextMessage,
            AtomicLong accepted,
            AtomicLong rejected,
            ConcurrentLinkedQueue<Double> latencies)
            throws IOException, InterruptedException {
        try (RawHttp2Client client = RawHttp2Client.open("127.0.0.1", relay.http2Port())) {
            client.await(() -> !client.streamLimits.isEmpty());
            Semaphore permits = new Semaphore(shape.streams());
            Map<Integer, Long> inFlight = new ConcurrentHashMap<>();
            Thread reader = new Thread(() -> {
                try {
                    client.await(() -> {
                        client.resets.keySet().forEach(id -> {
                            client.resets.remove(id);
                            onResponse(inFlight.remove(id), false, accepted, rejected, latencies, permits);
                        });
                        client.statuses.forEach((id, status) -> {
                            client.statuses.remove(id);
                            client.responseCounts.remove(id);
                            onResponse(inFlight.remove(id), status == 202, accepted, rejected, latencies, permits);
                        });
                        return false;
                    });
                } catch (IOException e) {
                    // The connection is closed at the end of the load.
                }
            });
            reader.start();
            while (System.nanoTime() < endNanos) {
                long dueNanos = awaitDue(startNanos, rate, nextMessage);
                if (!permits.tryAcquire(5, TimeUnit.SECONDS)) {
                    throw new IOException("no response within 5 s; in flight: " + inFlight.size() + ", GOAWAY: "
                            + client.goAways.stream()
                                    .map(goAway -> goAway[0] + "/" + goAway[1])
                                    .toList() + ", connection closed: " + client.hasEnded);
                }
                while (inFlight.size() >= client.streamLimits.get(client.streamLimits.size() - 1)) {
                    Thread.sleep(0, 100_000);
                }
                // Stored before sending, as the reader thread may receive the response first.
                inFlight.put(client.nextStreamId(), dueNanos);
                client.send(
                        RawHttp2Client.message("m" + NEXT_ID.getAndIncrement(), "settlement", null, 7, 2_000), BODY);
            }
            permits.tryAcquire(shape.streams(), 5, TimeUnit.SECONDS);
        }
    }

    private static void onResponse(
            Long dueNanos,
            boolean isAccepted,
            AtomicLong accepted,
            AtomicLong rejected,
            ConcurrentLinkedQueue<Double> latencies,
            Semaphore permits) {
        if (dueNanos != null) {
            (isAccepted ? accepted : rejected).incrementAndGet();
            latencies.add((System.nanoTime() - dueNanos) / 1e6);
            permits.release();
        }
    }

    private static void load(Path folder, String core) throws Exception {
        List<Shape> shapes = List.of(
                new Shape(false, 32, 1),
                new Shape(true, 1, 32),
                new Shape(true, 4, 32),
                new Shape(true, 32, 32),
                new Shape(false, 400, 1),
                new Shape(true, 4, 100));
        int only = Integer.getInteger("only", -1);
        for (int round = 0; round < ROUNDS; round++) {
            for (Shape shape : only < 0 ? shapes : shapes.subList(only, only + 1)) {
                try (FakePartner partner = new FakePartner(0, 0);
                        ServedRelay relay = startRelay(
                                folder, "load" + round + shapes.indexOf(shape), partner, 1_024, "streams = 100")) {
                    pinToCore(relay, core);
                    sendLoad(relay, shape, 4, 0);
                    Thread.sleep(1_000);
                    double cpuSecondsBefore = relay.cpuSeconds();
                    Outcome saturated = sendLoad(relay, shape, SECONDS, 0);
                    Thread.sleep(1_000);
                    double cpuMicrosPerMessage = (relay.cpuSeconds() - cpuSecondsBefore) * 1e6 / saturated.accepted();
                    double capacity = saturated.accepted() / SECONDS;
                    Thread.sleep(1_000);
                    Outcome paced = sendLoad(relay, shape, SECONDS, capacity * 0.7);
                    print(
                            "%s: %.0f messages per second on one core (%d rejected), %.0f us of CPU time per message;"
                                    + " at 70%% load p50 %.1f ms, p99 %.1f ms, %d of %d rejected",
                            shape,
                            capacity,
                            saturated.rejected(),
                            cpuMicrosPerMessage,
                            paced.latency(0.5),
                            paced.latency(0.99),
                            paced.rejected(),
                            paced.accepted() + paced.rejected());
                }
            }
        }
    }

    // ---- memory

    private static void memory(Path folder) throws Exception {
        try (FakePartner partner = new FakePartner(0, 0);
                ServedRelay relay = startRelay(folder, "memory", partner, 4_096, "streams = 1000\nidle = \"10m\"")) {
            for (int i = 0; i < 2_000; i++) {
                try (RawHttp2Client warmUp = RawHttp2Client.open("127.0.0.1", relay.http2Port())) {
                    warmUp.status(warmUp.send(RawHttp2Client.message("w" + i), BODY));
                }
            }
            collectGarbage(relay);
            long residentKibBefore = relay.residentKib();
            List<RawHttp2Client> idle = new ArrayList<>();
            for (int i = 0; i < 1_000; i++) {
                RawHttp2Client client = RawHttp2Client.open("127.0.0.1", relay.http2Port());
                client.await(() -> !client.streamLimits.isEmpty());
                idle.add(client);
            }
            Thread.sleep(1_000);
            long heapKib = collectGarbage(relay);
            print(
                    "1,000 idle connections: %d KiB more resident memory, %d KiB of heap in use",
                    relay.residentKib() - residentKibBefore, heapKib);
            // The requests stay incomplete, so the streams stay open until the read timeout of 2.5 s.
            for (int c = 0; c < 10; c++) {
                for (int i = 0; i < 1_000; i++) {
                    idle.get(c)
                            .sendHeaders(
                                    RawHttp2Client.message("h" + c + "-" + i).add("content-length", "10"), false);
                }
            }
            Thread.sleep(700);
            print(
                    "10,000 open streams in addition: %d KiB more resident memory, %d KiB of heap in use",
                    relay.residentKib() - residentKibBefore, collectGarbage(relay));
            for (RawHttp2Client client : idle) {
                client.close();
            }
        }
    }

    /** Runs a garbage collection in the relay with {@code jcmd}, and returns the heap in use afterwards, in KiB. */
    private static long collectGarbage(ServedRelay relay) throws Exception {
        for (String command : List.of("GC.run", "GC.heap_info")) {
            Process tool = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "jcmd")
                                    .toString(),
                            Long.toString(relay.process().pid()),
                            command)
                    .redirectErrorStream(true)
                    .start();
            String output = new String(tool.getInputStream().readAllBytes());
            tool.waitFor();
            if (command.equals("GC.heap_info")) {
                long usedKib = 0;
                var matcher = java.util.regex.Pattern.compile("(?:generation|new|tenured).*?used (\\d+)K")
                        .matcher(output);
                while (matcher.find()) {
                    usedKib += Long.parseLong(matcher.group(1));
                }
                return usedKib;
            }
        }
        return 0;
    }

    // ---- fast clients next to slow ones

    /**
     * Measures fast clients without other clients, and next to ten clients that send 20 messages per second and read
     * the responses, send as many and do not read, or flood the relay with invalid requests.
     */
    private static void slow(Path folder, String core) throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            for (String kind : List.of("none", "reading", "non-reading", "flooding")) {
                try (FakePartner partner = new FakePartner(0, 0);
                        ServedRelay relay =
                                startRelay(folder, kind + round, partner, 1_024, "streams = 100\nstall = \"2s\"")) {
                    pinToCore(relay, core);
                    Shape shape = new Shape(true, 4, 32);
                    sendLoad(relay, shape, 4, 0);
                    AtomicInteger closedConnections = new AtomicInteger();
                    List<RawHttp2Client> others = new ArrayList<>();
                    for (int i = 0; i < 10 && !kind.equals("none"); i++) {
                        RawHttp2Client client = RawHttp2Client.open("127.0.0.1", relay.http2Port());
                        client.await(() -> !client.streamLimits.isEmpty());
                        others.add(client);
                        Thread sender = new Thread(() -> sendUntilClosed(client, kind, closedConnections));
                        sender.setDaemon(true);
                        sender.start();
                    }
                    Thread.sleep(2_000);
                    Outcome paced = sendLoad(relay, shape, SECONDS, 1_500);
                    print(
                            "fast clients at 1,500 messages per second, other clients %s: %d of %d accepted,"
                                    + " p50 %.1f ms, p99 %.1f ms; closed connections of others: %d",
                            kind,
                            paced.accepted(),
                            paced.accepted() + paced.rejected(),
                            paced.latency(0.5),
                            paced.latency(0.99),
                            closedConnections.get());
                    for (RawHttp2Client client : others) {
                        client.close();
                    }
                }
            }
        }
    }

    private static void sendUntilClosed(RawHttp2Client client, String kind, AtomicInteger closedConnections) {
        try {
            while (true) {
                if (kind.equals("flooding")) {
                    client.send(RawHttp2Client.message("bad id"), "x");
                    continue;
                }
                int stream = client.send(
                        RawHttp2Client.message("o" + NEXT_ID.getAndIncrement(), "settlement", null, 7, 2_000), BODY);
                if (kind.equals("reading")) {
                    client.status(stream);
                }
                Thread.sleep(50);
            }
        } catch (IOException | InterruptedException e) {
            closedConnections.incrementAndGet();
        }
    }

    private static void standing(Path folder) throws Exception {
        try (FakePartner partner = new FakePartner(0, 0);
                ServedRelay relay = startRelay(folder, "standing", partner, 1_024, "")) {
            print("HTTP/2 on %d", relay.http2Port());
            while (System.in.read() >= 0) {
                continue;
            }
            print(
                    "executed: %d, more than once: %d",
                    partner.effects().size(),
                    partner.effects().values().stream()
                            .filter(executions -> executions > 1)
                            .count());
        }
    }
}
