package loftflow.interop;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.PublishOutcome;
import loftflow.fake.TemporaryFolder;
import loftflow.listener.amqp.CompletionReplier;
import loftflow.listener.http2.Http2Listener;
import loftflow.listener.http2.RawHttp2Client;
import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;

/**
 * Seeded runs of a relay between HTTP/2 and a broker, on loopback sockets: streams that are reset and connections that
 * are
 * lost at drawn moments, clients that do not read, drains, kills and restarts, and a partner that fails by a drawn
 * script.
 * What took effect is counted by the broker, what is in the journal by the journal's port, what was answered by the
 * client.
 * As a command: {@code Http2Campaign RUNS SEED [MUTANT]}.
 */
public final class Http2Campaign {
    /** What runs have come to. */
    record Tally(
            int runs,
            int messages,
            int recorded,
            int effects,
            int kills,
            int resets,
            int losses,
            int drains,
            int stalls,
            int twice,
            int endless,
            int answeredTwice,
            int contradicted,
            int cutOff,
            List<String> faults) {
        Tally plus(Tally o) {
            List<String> all = new ArrayList<>(faults);
            all.addAll(o.faults);
            return new Tally(
                    runs + o.runs,
                    messages + o.messages,
                    recorded + o.recorded,
                    effects + o.effects,
                    kills + o.kills,
                    resets + o.resets,
                    losses + o.losses,
                    drains + o.drains,
                    stalls + o.stalls,
                    twice + o.twice,
                    endless + o.endless,
                    answeredTwice + o.answeredTwice,
                    contradicted + o.contradicted,
                    cutOff + o.cutOff,
                    all.subList(0, Math.min(9, all.size())));
        }

        int broken() {
            return twice + endless + answeredTwice + contradicted + cutOff;
        }
    }

    /** A fault on purpose, so that each count is known to count. */
    enum Mutant {
        NONE,
        /** A reset after the record is taken for a withdrawal. */
        WITHDRAWS,
        /** A drain leaves open streams no time. */
        HASTY,
        /** Attempts are not recorded. */
        FORGETS
    }

    private static final Tally NONE = new Tally(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, List.of());
    private static final int MESSAGES = 16;
    private static final long PATIENCE_MS = 20_000;
    private static final int SIDE_BY_SIDE = 32;

    private Http2Campaign() {}

    /** Runs so many, from a seed on. */
    public static void main(String[] args) throws Exception {
        long start = System.nanoTime();
        System.out.println(run(
                Integer.parseInt(args[0]),
                Long.parseLong(args[1]),
                args.length > 2 ? Mutant.valueOf(args[2]) : Mutant.NONE,
                SIDE_BY_SIDE));
        System.out.println(String.format(Locale.ROOT, "%.0f s", (System.nanoTime() - start) / 1e9));
        System.exit(0);
    }

    static Tally run(int runs, long seed, Mutant mutant, int sideBySide) throws Exception {
        return CampaignRuns.play(
                runs,
                seed,
                sideBySide,
                NONE,
                one -> new Run(one, mutant).play(),
                fault -> new Tally(1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, List.of(fault)),
                Tally::plus);
    }

    /** What a client may know of a message at the end of its stream. */
    private enum Heard {
        TAKEN,
        REFUSED,
        FAILED,
        NOTHING
    }

    /** One connection with a thread that reads it, but for pauses, and what became of its streams. */
    private static final class Line {
        private final RawHttp2Client client;
        private final Map<Integer, String> ids = new ConcurrentHashMap<>();
        private final Set<Integer> resets = ConcurrentHashMap.newKeySet();
        private final Thread reader;
        private volatile boolean dropped;
        private volatile long pausedUntil;

        Line(String host, int port) throws IOException {
            client = RawHttp2Client.open(host, port);
            reader = new Thread(this::read);
            reader.start();
        }

        private void read() {
            try {
                client.await(() -> {
                    long pause = pausedUntil - System.currentTimeMillis();
                    if (pause > 0) {
                        sleep(pause);
                    }
                    return false;
                });
            } catch (IOException | IllegalStateException e) {
                // It was dropped, or the relay was killed in the middle of a frame.
            }
        }

        private static void sleep(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isOver() {
            return !reader.isAlive();
        }

        void drop() throws IOException {
            dropped = true;
            client.abort();
        }

        void end() throws Exception {
            client.close();
            reader.join();
        }
    }

    /** The front of a run. */
    private static final class Way implements CampaignRelay.Way {
        private final Set<String> recorded;
        private final Mutant mutant;
        private final String host;
        private final int port;
        private volatile Http2Listener server;

        Way(Set<String> recorded, Mutant mutant, String host, int port) {
            this.host = host;
            this.recorded = recorded;
            this.mutant = mutant;
            this.port = port;
        }

        @Override
        public CompletionReplier make(CampaignRelay relay) {
            MessageAcceptor intake = mutant == Mutant.WITHDRAWS ? new Withdrawing(relay.engine()) : relay.engine();
            server = new Http2Listener(
                    intake,
                    relay.clock(),
                    relay.pulse(),
                    new Http2Listener.Options(
                            20,
                            new ConcurrentStreamLimit.Bounds(2, 100, 200),
                            16 << 10,
                            1 << 16,
                            1 << 18,
                            Map.of("unsafe", 0.5),
                            50,
                            new ConnectionExpiry.TimeLimits(2_000_000, 60_000_000, 0, 300_000),
                            mutant == Mutant.HASTY ? 0 : 1_500_000));
            return null;
        }

        @Override
        public int start(CampaignRelay relay) {
            return CampaignRelay.bound(host, address -> server.listen(relay.loop(), address), port);
        }

        @Override
        public void recorded(String id) {
            recorded.add(id);
        }

        @Override
        public boolean forgetsAttempts() {
            return mutant == Mutant.FORGETS;
        }
    }

    /** A fault on purpose: whoever leaves takes the message back, though the journal has it. */
    private record Withdrawing(MessageAcceptor intake) implements MessageAcceptor {
        @Override
        public boolean isReady() {
            return intake.isReady();
        }

        @Override
        public boolean recognizes(Message.Content content) {
            return intake.recognizes(content);
        }

        @Override
        public boolean hasDestination(int destination) {
            return intake.hasDestination(destination);
        }

        @Override
        public Message accept(Message.Content content, long unreadSince, Message.ClientReply client) {
            return intake.accept(content, unreadSince, client);
        }

        @Override
        public void withdraw(Message message) {
            intake.withdraw(message);
        }

        @Override
        public void clientDisconnected(Message message) {
            intake.withdraw(message);
        }

        @Override
        public double utilization() {
            return intake.utilization();
        }
    }

    /** One run. */
    private static final class Run {
        private final long seed;
        private final Mutant mutant;
        private final Random random;
        private final Set<String> recorded = ConcurrentHashMap.newKeySet();
        private final Map<String, Set<String>> ends = new ConcurrentHashMap<>();
        private final Map<String, Heard> heard = new HashMap<>();
        private final List<String> faults = new CopyOnWriteArrayList<>();
        private final List<Line> lines = new ArrayList<>();
        private int kills;
        private int resets;
        private int losses;
        private int drains;
        private int stalls;
        private int answeredTwice;
        private int cutOff;

        Run(long seed, Mutant mutant) {
            this.seed = seed;
            this.mutant = mutant;
            random = new Random(seed * 0x9E3779B97F4A7C15L);
        }

        Tally play() throws Exception {
            try (TemporaryFolder scratch = TemporaryFolder.named("http2");
                    FakeBroker broker = new FakeBroker()) {
                broker.bind("orders", "direct", "k", "out");
                broker.lateBy(20 + random.nextInt(200));
                List<PublishOutcome> draws = new ArrayList<>();
                for (int i = 0; i < MESSAGES * 4; i++) {
                    draws.add(
                            random.nextInt(3) > 0
                                    ? PublishOutcome.CONFIRM
                                    : PublishOutcome.values()[random.nextInt(PublishOutcome.values().length)]);
                }
                Map<String, PublishOutcome> outcomes = new ConcurrentHashMap<>();
                broker.setOutcomes(id -> id == null
                        ? PublishOutcome.CONFIRM
                        : outcomes.computeIfAbsent(id, i -> draws.get(Math.floorMod(i.hashCode(), draws.size()))));
                return play(broker, scratch.folder());
            } finally {
                for (Line line : lines) {
                    line.end();
                }
            }
        }

        private Tally play(FakeBroker broker, Path folder) throws Exception {
            Way way = new Way(recorded, mutant, CampaignRelay.host(seed), 0);
            CampaignRelay life = new CampaignRelay(folder, broker.port(), false, ends, way);
            Line line = null;
            try {
                for (int i = 0; i < MESSAGES; i++) {
                    boolean dies = false;
                    if (line == null || line.isOver() || line.dropped) {
                        line = new Line(CampaignRelay.host(seed), life.port());
                        lines.add(line);
                    }
                    send(line, "m" + i, i % 4 == 0 ? "keyed" : "unsafe");
                    switch (random.nextInt(20)) {
                        case 0, 1 -> {
                            if (random.nextBoolean()) {
                                Thread.sleep(random.nextInt(6));
                            }
                            dies = true;
                        }
                        case 2 -> {
                            losses++;
                            line.drop();
                        }
                        case 3 -> {
                            stalls++;
                            line.pausedUntil = System.currentTimeMillis() + random.nextInt(60);
                        }
                        case 4, 5 -> {
                            drains++;
                            dies = true;
                            Http2Listener server = way.server;
                            int half = half(line, "m" + MESSAGES + i);
                            life.loop().submit((Runnable) server::drain).sync();
                            Thread.sleep(random.nextInt(120));
                            end(line, half);
                            // A relay that drains says so to who comes next: another one takes its place.
                            awaitEnd(line);
                        }
                        case 6 -> broker.drop();
                        default -> {}
                    }
                    if (dies) {
                        lines.forEach(l -> l.dropped = true);
                        life.kill();
                        kills++;
                        way = new Way(recorded, mutant, CampaignRelay.host(seed), life.port());
                        life = new CampaignRelay(folder, broker.port(), false, ends, way);
                    }
                    if (random.nextInt(3) == 0) {
                        Thread.sleep(random.nextInt(15));
                    }
                }
                broker.setOutcome(PublishOutcome.CONFIRM);
                Thread.sleep(30);
                hear();
                return check(broker);
            } finally {
                life.kill();
            }
        }

        /** Sends head and body apart, and resets some streams at a drawn moment. */
        private void send(Line line, String id, String type) throws IOException, InterruptedException {
            String key = type.equals("keyed") ? "key-" + id : null;
            int moment = random.nextInt(12);
            try {
                int stream = line.client.sendHeaders(
                        RawHttp2Client.message(id, type, key, 7, 300 + random.nextInt(500)), false);
                line.ids.put(stream, id);
                if (random.nextInt(4) == 0) {
                    Thread.sleep(random.nextInt(8));
                }
                if (moment == 0) {
                    reset(line, stream);
                    return;
                }
                line.client.sendData(stream, id.getBytes(java.nio.charset.StandardCharsets.UTF_8), true);
                if (moment <= 3) {
                    // In the same pass, in the same round, or after its answer was written.
                    Thread.sleep(moment == 1 ? 0 : random.nextInt(moment == 2 ? 3 : 30));
                    reset(line, stream);
                }
            } catch (IOException e) {
                // The relay ended the connection: what it has not answered is held against the journal.
            }
        }

        /** Begins a message that is not whole when the drain comes. */
        private int half(Line line, String id) {
            try {
                int stream = line.client.sendHeaders(RawHttp2Client.message(id, "unsafe", null, 7, 1_000), false);
                line.ids.put(stream, id);
                return stream;
            } catch (IOException e) {
                return 0;
            }
        }

        private void end(Line line, int half) {
            try {
                if (half > 0) {
                    line.client.sendData(half, new byte[1], true);
                }
            } catch (IOException e) {
                // The relay ended the connection: what it owed is counted.
            }
        }

        private void reset(Line line, int stream) throws IOException {
            resets++;
            line.resets.add(stream);
            line.client.reset(stream);
        }

        /** A drain lets every stream finish that it takes, whose client has not left it. */
        private void awaitEnd(Line line) throws InterruptedException {
            if (line.dropped) {
                return;
            }
            line.reader.join(PATIENCE_MS);
            List<int[]> words = line.client.goAways;
            int last = words.isEmpty() ? 0 : words.get(words.size() - 1)[0];
            for (Map.Entry<Integer, String> sent : line.ids.entrySet()) {
                boolean done = line.client.statuses.containsKey(sent.getKey())
                        || line.resets.contains(sent.getKey())
                        || line.client.resets.containsKey(sent.getKey());
                if (sent.getKey() <= last && !done) {
                    cutOff++;
                    faults.add("run " + seed + ": " + sent + " was cut off by a drain, last " + last);
                }
            }
        }

        /** What clients know once all lines are done. */
        private void hear() throws Exception {
            for (Line line : lines) {
                line.end();
                for (Map.Entry<Integer, String> sent : line.ids.entrySet()) {
                    int stream = sent.getKey();
                    if (line.client.responseCounts.getOrDefault(stream, 0) > 1) {
                        answeredTwice++;
                        faults.add("run " + seed + ": " + sent.getValue() + " was answered twice");
                    }
                    boolean neverTaken = line.client.resets.getOrDefault(stream, 0) == 7
                            || line.client.goAways.stream().anyMatch(g -> g[0] < stream);
                    heard.put(
                            sent.getValue(),
                            switch (line.client.statuses.getOrDefault(stream, 0)) {
                                case 202 -> Heard.TAKEN;
                                case 500 -> Heard.FAILED;
                                case 0 -> neverTaken ? Heard.REFUSED : Heard.NOTHING;
                                default -> Heard.REFUSED;
                            });
                }
            }
        }

        private boolean isOwed(String id) {
            Heard what = heard.getOrDefault(id, Heard.NOTHING);
            return what == Heard.TAKEN || recorded.contains(id) && what == Heard.NOTHING;
        }

        /** Waits until every message that is owed one has its end, then holds all accounts against each other. */
        private Tally check(FakeBroker broker) throws InterruptedException {
            long giveUp = System.nanoTime() + PATIENCE_MS * 1_000_000;
            Set<String> missing = new HashSet<>();
            heard.keySet().stream().filter(this::isOwed).forEach(missing::add);
            while (!missing.isEmpty() && System.nanoTime() < giveUp) {
                missing.removeAll(ends.keySet());
                missing.removeAll(broker.effects().keySet());
                if (mutant != Mutant.NONE && System.nanoTime() > giveUp - (PATIENCE_MS - 3_000) * 1_000_000) {
                    break;
                }
                Thread.sleep(10);
            }
            if (!missing.isEmpty()) {
                faults.add("run " + seed + ": no end for " + missing);
            }
            Map<String, Integer> effects = broker.effects();
            int twice = 0;
            int contradicted = 0;
            for (Map.Entry<String, Heard> one : heard.entrySet()) {
                String id = one.getKey();
                int count = effects.getOrDefault(id, 0);
                boolean unsafe = Integer.parseInt(id.substring(1)) % 4 != 0 || id.length() > 3;
                Set<String> told = ends.getOrDefault(id, Set.of());
                if (unsafe && count > 1) {
                    twice++;
                    faults.add("run " + seed + ": " + id + " took effect " + count + " times, " + told);
                }
                boolean wrong = told.size() > 1
                        || unsafe && told.contains("bounced") && count > 0
                        || one.getValue() == Heard.REFUSED && (count > 0 || !told.isEmpty())
                        || !recorded.contains(id) && (count > 0 || !told.isEmpty() || one.getValue() == Heard.TAKEN);
                if (wrong) {
                    contradicted++;
                    faults.add("run " + seed + ": " + id + " was heard " + one.getValue() + ", took effect " + count
                            + " times and was told " + told);
                }
            }
            return new Tally(
                    1,
                    heard.size(),
                    recorded.size(),
                    effects.values().stream().mapToInt(Integer::intValue).sum(),
                    kills,
                    resets,
                    losses,
                    drains,
                    stalls,
                    twice,
                    missing.size(),
                    answeredTwice,
                    contradicted,
                    cutOff,
                    faults);
        }
    }
}
