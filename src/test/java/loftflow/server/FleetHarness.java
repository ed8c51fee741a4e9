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
 * A fleet of relays on loopback with its partners, discovery and a client beside each relay. Half of the relays are
 * killed
 * while discovery is down and start again; some endpoints have been removed meanwhile and their addresses are another
 * service's, hang or refuse; some partners were out, and return cold.
 */
final class FleetHarness implements AutoCloseable {
    static final double FALL_MULTIPLE = 2.5;
    private static final long FALL_SPAN = TimeUnit.SECONDS.toNanos(2);
    private static final double COLD_FROM = 0.15;
    private static final long WARM_UP_MS = 10_000;
    private static final long WANTED = TimeUnit.SECONDS.toNanos(2);

    /** What the relays that start again know. */
    enum Start {
        /** What they remember, a second or two old. */
        REMEMBERED,
        /** What they remember, made two hours old. */
        REMEMBERED_OLD,
        /** Nothing is remembered, and discovery is up. */
        DISCOVERY,
        /** Nothing is remembered, and discovery is down. */
        EMPTY
    }

    /**
     * What was measured.
     *
     * @param readyMillis from the start of each process until it was ready; -1 for not before discovery was back
     * @param inTime share of what clients had for the relays that started again, until discovery came back, that was
     *     delivered within two seconds
     * @param others the same for the relays that lived on
     * @param toRemovedBefore messages from relays that started again that reached what is at removed addresses, before
     *     discovery returned
     * @param toRemovedAfter messages from any relay that did so after it had told each
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

    private record Handed(int relay, long at) {}

    private final Path folder;
    private final int relays;
    private final int endpoints;
    private final int removed;
    private final int cold;
    private final int limit;
    private final double rate;
    private final List<FakePartner> partners = new ArrayList<>();
    private final List<ScriptedPeer> strangers = new ArrayList<>();
    private final FakeDiscoveryAgent discovery = new FakeDiscoveryAgent();
    private final List<ServedRelay> served = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private final Map<String, Handed> handed = new ConcurrentHashMap<>();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean over;
    private long killedAt;
    private long returnedAt;

    /**
     * A fleet that is not started yet. The first {@code removed} endpoints share their destinations with another one
     * each;
     * the last {@code cold} ones are alone in theirs.
     *
     * @param limit calls a second that each endpoint takes
     * @param rate messages a second that each relay is handed
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

    private Path written(int relay, boolean remembers) throws Exception {
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

    /** Plays the whole: a fleet at work, half of it killed and started again, a gap, and discovery's return. */
    Measured play(Start start, int learnMillis, int gapMillis, int afterMillis) throws Exception {
        discovery.list(list(0));
        for (int relay = 0; relay < relays; relay++) {
            files.add(written(relay, start == Start.REMEMBERED || start == Start.REMEMBERED_OLD));
            served.add(ServedRelay.start(files.get(relay), folder.resolve("log" + relay)));
        }
        for (int relay = 0; relay < relays; relay++) {
            served.get(relay).awaitServing();
            client(relay);
        }
        Thread.sleep(learnMillis / 2);
        partners.subList(endpoints - cold, endpoints).forEach(p -> p.be(FakePartner.Mood.SHUT));
        Thread.sleep(learnMillis / 2);
        if (start != Start.DISCOVERY) {
            discovery.stop();
        }
        int half = relays / 2;
        killedAt = System.nanoTime();
        for (int relay = 0; relay < half; relay++) {
            served.get(relay).close();
        }
        strangers();
        if (start == Start.REMEMBERED_OLD) {
            for (int relay = 0; relay < half; relay++) {
                age(folder.resolve("state" + relay), relay, TimeUnit.HOURS.toMicros(2));
            }
        }
        if (start == Start.DISCOVERY) {
            discovery.list(list(removed));
        }
        long began = System.nanoTime();
        List<Long> ready = startAgain(half, start);
        Thread.sleep(1_000);
        returnedAt = System.nanoTime();
        partners.subList(endpoints - cold, endpoints).forEach(p -> p.returnCold(COLD_FROM, WARM_UP_MS));
        Thread.sleep(Math.max(0, gapMillis - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)));
        long returned = System.nanoTime();
        long before = toStrangers(half);
        if (start != Start.DISCOVERY) {
            discovery.list(list(removed));
            discovery.restart();
        }
        // Each relay has been told once its watch waits for what comes after: the longest pause of its asking is five
        // seconds.
        Thread.sleep(7_000);
        long told = toStrangers(relays);
        Thread.sleep(afterMillis);
        over = true;
        for (Thread client : clients) {
            client.join();
        }
        // What was handed in last has its goal too.
        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(WANTED));
        return new Measured(
                ready,
                inTime(began, returned, half, true),
                inTime(began, returned, half, false),
                before,
                toStrangers(relays) - told,
                highest());
    }

    /** Messages from the first so many relays, since they last started, that reached what is at removed addresses. */
    private long toStrangers(int from) {
        return strangers.stream()
                .flatMap(s -> s.requests.stream())
                .filter(r -> r.id() != null
                        && r.at() >= killedAt
                        && Integer.parseInt(r.id().split("-")[0]) < from)
                .count();
    }

    /** Others take the addresses of what was removed: another service, one that hangs; the rest refuses. */
    private void strangers() throws IOException {
        for (int i = 0; i < removed; i++) {
            int port = Integer.parseInt(partners.get(i).address().split(":")[1]);
            partners.get(i).close();
            if (i % 3 == 0) {
                strangers.add(
                        new ScriptedPeer(port, r -> ScriptedPeer.status(r.line().startsWith("POST ") ? 200 : 404)));
            } else if (i % 3 == 1) {
                strangers.add(new ScriptedPeer(port, r -> ScriptedPeer.SILENCE));
            }
        }
    }

    /** Makes what a stopped relay remembers older, by every clock alike. */
    private static void age(Path state, int relay, long by) throws IOException {
        SnapshotSamples.change(
                state,
                "app#" + relay,
                p -> new Snapshot(
                        p.owner(),
                        p.generation(),
                        new ClockReading(p.at().wall() - by, p.at().up() - by, p.at().boot()),
                        p.time(),
                        p.revision(),
                        p.endpoints()));
    }

    private List<Long> startAgain(int half, Start start) throws Exception {
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

    /** Hands messages in to one relay at its rate, whatever becomes of them. */
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
                    handed.put(id, new Handed(relay, due));
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
                        // It is handed in, as far as this client knows; its relay may be gone.
                    }
                }
            } catch (IOException | InterruptedException e) {
                // Its relay is gone, or the fleet is.
            }
        });
        thread.setDaemon(true);
        thread.start();
        clients.add(thread);
    }

    private double inTime(long from, long until, int half, boolean restarted) {
        Map<String, Long> ran = new HashMap<>();
        for (FakePartner partner : partners) {
            partner.postings().stream()
                    .filter(FakePartner.Posting::ran)
                    .forEach(p -> ran.merge(p.id(), p.atNanos(), Math::min));
        }
        List<Map.Entry<String, Handed>> all = handed.entrySet().stream()
                .filter(h -> h.getValue().at() >= from
                        && h.getValue().at() < until
                        && h.getValue().relay() < half == restarted)
                .toList();
        long good = all.stream()
                .filter(h -> ran.containsKey(h.getKey())
                        && ran.get(h.getKey()) - h.getValue().at() <= WANTED)
                .count();
        return (double) good / Math.max(1, all.size());
    }

    /** The highest load on a partner that returned cold, in any two seconds since, beside what it could take then. */
    private double highest() {
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
                while (first + count < calls.length && calls[first + count] < calls[first] + FALL_SPAN) {
                    count++;
                }
                double able =
                        (partner.able(calls[first]) + partner.able(calls[first] + FALL_SPAN)) / 2 * FALL_SPAN / 1e9;
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
        for (ScriptedPeer stranger : strangers) {
            stranger.close();
        }
        discovery.close();
    }

    /** The fleet of the measurement: twelve relays, thirty endpoints, four removed and six cold; each start in turn. */
    public static void main(String[] args) throws Exception {
        for (Start start : args.length == 0 ? Start.values() : new Start[] {Start.valueOf(args[0])}) {
            try (TemporaryFolder scratch = TemporaryFolder.named("fleet");
                    FleetHarness rig = new FleetHarness(scratch.folder(), 12, 30, 4, 6, 20, 15)) {
                System.out.println(start + " " + rig.play(start, 20_000, 25_000, 10_000));
            }
        }
    }
}
