package loftflow.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakeDiscoveryAgent;
import loftflow.fake.FakePartner;
import loftflow.fake.ScriptedPeer;
import loftflow.fake.ServedRelay;
import loftflow.fake.TemporaryFolder;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.store.SnapshotSamples;

/**
 * A fleet of relays on loopback with upstreams, discovery and a client for each relay. Half of the relays are killed
 * while discovery is down and start again. Meanwhile some endpoints are removed, and at their addresses another service
 * answers, hangs or refuses connections; some upstreams were out, and return cold.
 */
final class FleetHarness implements AutoCloseable {
    static final double MAX_LOAD_MULTIPLE = 2.5;
    private static final long LOAD_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double COLD_CAPACITY_SHARE = 0.15;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long LATENCY_OBJECTIVE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** What the relays know when they start again. */
    enum Start {
        /** A snapshot that is one or two seconds old. */
        REMEMBERED,
        /** A snapshot that is made two hours old. */
        REMEMBERED_OLD,
        /** No snapshot, and discovery is up. */
        DISCOVERY,
        /** No snapshot, and discovery is down. */
        EMPTY
    }

    /**
     * What was measured.
     *
     * @param readyMillis from the start of each process until it was ready; -1 where it was not before discovery returned
     * @param inTime the share of the messages for relays that started again, sent until discovery returned, that was
     *     delivered within two seconds
     * @param others the same for the relays that were not killed
     * @param toRemovedBefore messages from relays that started again that reached the addresses of removed endpoints, before
     *     discovery returned
     * @param toRemovedAfter messages from any relay that did so after discovery had notified each relay
     * @param highest the highest load in two seconds on any partner that returned cold, as a multiple of what it could
     *     do
     */
    record Measured(
            List<Long> readyMillis,
            double inTime,
            double others,
            long toRemovedBefore,
            long toRemovedAfter,
            double highest) {}

    private record SentMessage(int relay, long sentAtNanos) {}

    private final Path folder;
    private final int relays;
    private final int endpoints;
    private final int removed;
    private final int cold;
    private final int limit;
    private final double rate;
    private final List<FakePartner> partners = new ArrayList<>();
    private final List<ScriptedPeer> reuseRemovedAddresses = new ArrayList<>();
    private final FakeDiscoveryAgent discovery = new FakeDiscoveryAgent();
    private final List<ServedRelay> served = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private final Map<String, SentMessage> sentMessages = new ConcurrentHashMap<>();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean over;
    private long killedAt;
    private long returnedAt;

    /**
     * A fleet that is not started yet. Each of the first {@code removed} endpoints shares its destination with another
     * endpoint; the last {@code cold} ones share theirs with none.
     *
     * @param limit calls a second that each endpoint accepts
     * @param rate messages a second that each relay is sent
     */
    FleetHarness(Path folder, int relays, int endpoints, int removed, int cold, int limit, double rate)
            throws IOException {
        this.folder = folder;
        this.relays = relays;
        this.endpoints = endpoints;
        this.removed = removed;
        this.cold = cold;
        this.limit = limit;
        this.rate = rate;
        for (int i = 0; i < endpoints; i++) {
            partners.add(new FakePartner(5, limit));
        }
    }

    /** Removed endpoint i shares its destination with endpoint removed + i. */
    private int destination(int endpoint) {
        return endpoint < removed ? removed + endpoint : endpoint;
    }

    private List<String> list(int from) {
        List<String> entries = new ArrayList<>();
        for (int i = from; i < endpoints; i++) {
            entries.add(FakeDiscoveryAgent.entry(
                    "e" + i,
                    destination(i),
                    "elevators",
                    "main",
                    "in_service",
                    partners.get(i).address(),
                    limit));
        }
        return entries;
    }

    private Path writeRelayFile(int relay, boolean remembers) throws Exception {
        StringBuilder text = new StringBuilder(
                """
                format = 1
                name = "app"
                [machine]
                memory = "128MiB"
                descriptors = 256
                disk = "8MiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [discovery]
                agent = "%s"
                [fleet]
                relays = %d
                number = %d
                [[class]]
                name = "status"
                repeat = "repeatable"
                wanted = "2s"
                deadline = "8s"
                peak-rate = "20/s"
                [[kind]]
                name = "elevators"
                routes-apart = true
                [memory]
                keep = %s
                sync = false
                """
                        .formatted(folder.resolve("state" + relay), discovery.address(), relays, relay, remembers));
        for (int i = removed; i < endpoints; i++) {
            text.append("[[partner]]\nname = \"p" + i + "\"\nnumber = " + i + "\nkind = \"elevators\"\nlimit = \""
                    + limit + "/s\"\nresponse = \"5ms\"\n");
        }
        Path file = Files.writeString(folder.resolve("app" + relay + ".toml"), text);
        Path out = Files.createDirectories(folder.resolve("relay" + relay));
        ConfigTool.Outcome outcome = ConfigTool.write(file, out, true);
        if (outcome.file() == null) {
            throw new IOException(outcome.findings().toString());
        }
        return outcome.file();
    }

    /** Runs the fleet, kills and restarts half of it, and lets discovery return after a gap. */
    Measured run(Start start, int learnMillis, int gapMillis, int afterMillis) throws Exception {
        discovery.list(list(0));
        for (int relay = 0; relay < relays; relay++) {
            files.add(writeRelayFile(relay, start == Start.REMEMBERED || start == Start.REMEMBERED_OLD));
            served.add(ServedRelay.start(files.get(relay), folder.resolve("log" + relay)));
        }
        for (int relay = 0; relay < relays; relay++) {
            served.get(relay).awaitServing();
            client(relay);
        }
        Thread.sleep(learnMillis / 2);
        partners.subList(endpoints - cold, endpoints).forEach(p -> p.setBehavior(FakePartner.Behavior.UNAVAILABLE));
        Thread.sleep(learnMillis / 2);
        if (start != Start.DISCOVERY) {
            discovery.stop();
        }
        int half = relays / 2;
        killedAt = System.nanoTime();
        for (int relay = 0; relay < half; relay++) {
            served.get(relay).close();
        }
        reuseRemovedAddresses();
        if (start == Start.REMEMBERED_OLD) {
            for (int relay = 0; relay < half; relay++) {
                age(folder.resolve("state" + relay), relay, TimeUnit.HOURS.toMicros(2));
            }
        }
        if (start == Start.DISCOVERY) {
            discovery.list(list(removed));
        }
        long began = System.nanoTime();
        List<Long> ready = restart(half, start);
        Thread.sleep(1_000);
        returnedAt = System.nanoTime();
        partners.subList(endpoints - cold, endpoints).forEach(p -> p.returnCold(COLD_CAPACITY_SHARE, WARM_UP_MILLIS));
        Thread.sleep(Math.max(0, gapMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)));
        long returned = System.nanoTime();
        long before = messagesToRemovedAddresses(half);
        if (start != Start.DISCOVERY) {
            discovery.list(list(removed));
            discovery.restart();
        }
        // By then each relay has the list, since two requests fit into the six seconds in which a change must be known.
        Thread.sleep(7_000);
        long beforeUpdate = messagesToRemovedAddresses(relays);
        Thread.sleep(afterMillis);
        over = true;
        for (Thread client : clients) {
            client.join();
        }
        // The messages sent last have their latency objective too.
        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(LATENCY_OBJECTIVE_NANOS));
        return new Measured(
                ready,
                shareDeliveredInTime(began, returned, half, true),
                shareDeliveredInTime(began, returned, half, false),
                before,
                messagesToRemovedAddresses(relays) - beforeUpdate,
                highestLoad());
    }

    /** Messages of the first so many relays, since the kill, that reached the addresses of removed endpoints. */
    private long messagesToRemovedAddresses(int from) {
        return reuseRemovedAddresses.stream()
                .flatMap(s -> s.requests.stream())
                .filter(r -> r.id() != null
                        && r.at() >= killedAt
                        && Integer.parseInt(r.id().split("-")[0]) < from)
                .count();
    }

    /** Reuses the addresses of removed endpoints for another service and for one that hangs; the rest refuse. */
    private void reuseRemovedAddresses() throws IOException {
        for (int i = 0; i < removed; i++) {
            int port = Integer.parseInt(partners.get(i).address().split(":")[1]);
            partners.get(i).close();
            if (i % 3 == 0) {
                reuseRemovedAddresses.add(
                        new ScriptedPeer(port, r -> ScriptedPeer.status(r.line().startsWith("POST ") ? 200 : 404)));
            } else if (i % 3 == 1) {
                reuseRemovedAddresses.add(new ScriptedPeer(port, r -> ScriptedPeer.SILENCE));
            }
        }
    }

    /** Makes a stopped relay's snapshot older, by every clock alike. */
    private static void age(Path state, int relay, long by) throws IOException {
        SnapshotSamples.rewriteLatest(
                state,
                "app#" + relay,
                p -> new Snapshot(
                        p.owner(),
                        p.generation(),
                        new ClockReading(
                                p.clocks().wallMicros() - by,
                                p.clocks().uptimeMicros() - by,
                                p.clocks().bootId()),
                        p.relayTimeMicros(),
                        p.revision(),
                        p.endpoints()));
    }

    private List<Long> restart(int half, Start start) throws Exception {
        long began = System.nanoTime();
        Map<Integer, Long> ready = new HashMap<>();
        for (int relay = 0; relay < half; relay++) {
            served.set(relay, ServedRelay.start(files.get(relay), folder.resolve("again" + relay)));
        }
        for (int relay = 0; relay < half; relay++) {
            served.get(relay).awaitServing();
            client(relay);
        }
        while (start != Start.EMPTY && ready.size() < half) {
            for (int relay = 0; relay < half; relay++) {
                if (!ready.containsKey(relay)) {
                    try (FakeClient client = served.get(relay).client()) {
                        if (client.isReady()) {
                            ready.put(relay, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began));
                        }
                    }
                }
            }
            if (TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - began) > 30) {
                throw new IOException("not ready: " + served.get(0).log());
            }
        }
        List<Long> all = new ArrayList<>();
        for (int relay = 0; relay < half; relay++) {
            all.add(ready.getOrDefault(relay, -1L));
        }
        return all;
    }

    /** Sends messages to one relay at a fixed rate, whatever becomes of them. */
    private void client(int relay) {
        ServedRelay to = served.get(relay);
        Thread thread = new Thread(() -> {
            long start = System.nanoTime();
            long pause = (long) (TimeUnit.SECONDS.toNanos(1) / rate);
            try (FakeClient client = to.client()) {
                for (int i = 0; !over && to.process().isAlive(); i++) {
                    long due = start + i * pause;
                    TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
                    String id = relay + "-" + start + "-" + i;
                    sentMessages.put(id, new SentMessage(relay, due));
                    try {
                        client.handIn(
                                id,
                                "status",
                                null,
                                null,
                                removed + (relay * 7 + i) % (endpoints - removed),
                                8_000,
                                "a");
                    } catch (IOException e) {
                        // The relay may have ended; the message counts as sent.
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The relay or the fleet has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        clients.add(thread);
    }

    private double shareDeliveredInTime(long from, long until, int half, boolean restarted) {
        Map<String, Long> ran = new HashMap<>();
        for (FakePartner partner : partners) {
            partner.postings().stream()
                    .filter(FakePartner.Posting::ran)
                    .forEach(p -> ran.merge(p.id(), p.atNanos(), Math::min));
        }
        List<Map.Entry<String, SentMessage>> all = sentMessages.entrySet().stream()
                .filter(h -> h.getValue().sentAtNanos() >= from
                        && h.getValue().sentAtNanos() < until
                        && h.getValue().relay() < half == restarted)
                .toList();
        long good = all.stream()
                .filter(h -> ran.containsKey(h.getKey())
                        && ran.get(h.getKey()) - h.getValue().sentAtNanos() <= LATENCY_OBJECTIVE_NANOS)
                .count();
        return (double) good / Math.max(1, all.size());
    }

    /** The highest load on an upstream that returned cold, in any two seconds, as a multiple of its capacity then. */
    private double highestLoad() {
        double highest = 0;
        for (FakePartner partner : partners.subList(endpoints - cold, endpoints)) {
            long[] calls = LongStream.concat(
                            partner.postings().stream().mapToLong(FakePartner.Posting::atNanos),
                            partner.checks().stream().mapToLong(Long::longValue))
                    .filter(at -> at >= returnedAt)
                    .sorted()
                    .toArray();
            for (int first = 0; first < calls.length; first++) {
                int count = 0;
                while (first + count < calls.length && calls[first + count] < calls[first] + LOAD_WINDOW_NANOS) {
                    count++;
                }
                double able = (partner.able(calls[first]) + partner.able(calls[first] + LOAD_WINDOW_NANOS))
                        / 2
                        * LOAD_WINDOW_NANOS
                        / 1e9;
                highest = Math.max(highest, count / able);
            }
        }
        return highest;
    }

    @Override
    public void close() throws IOException {
        over = true;
        served.forEach(ServedRelay::close);
        for (FakePartner partner : partners) {
            partner.close();
        }
        for (ScriptedPeer stranger : reuseRemovedAddresses) {
            stranger.close();
        }
        discovery.close();
    }

    /** Measures twelve relays with thirty endpoints, four removed and six cold, for each kind of start. */
    public static void main(String[] args) throws Exception {
        for (Start start : args.length == 0 ? Start.values() : new Start[] {Start.valueOf(args[0])}) {
            try (TemporaryFolder scratch = TemporaryFolder.named("fleet");
                    FleetHarness rig = new FleetHarness(scratch.folder(), 12, 30, 4, 6, 20, 15)) {
                System.out.println(start + " " + rig.run(start, 20_000, 25_000, 10_000));
            }
        }
    }
}
