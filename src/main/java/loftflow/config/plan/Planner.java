package loftflow.config.plan;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loftflow.config.file.Units;
import loftflow.config.schema.Schema;
import loftflow.config.schema.SettingLocation;

/** Works out what a relay runs by from what was declared, and says how. Free of I/O: alike for alike. */
public final class Planner {
    /** Descriptors for all but connections: the JVM's own, the journal's, discovery's, and one just accepted. */
    public static final int OTHER_DESCRIPTORS = 36;
    /** Memory beside the heap and direct memory: classes, code, threads and the collector, as measured with room. */
    public static final long JVM_OWN = 40L << 20;
    /** Bytes of a journaled message beside its body: ids, key, head, and the records of a few attempts. */
    static final long RECORD = 600;
    /** Bytes that a held message takes on the heap beside its body. */
    static final long HELD = 2 << 10;
    /** The part of the journal's limit that open messages may take; the rest is for ends and for rewriting. */
    static final double OPEN_SHARE = 0.3;
    /** The part of the heap that held messages may take. */
    static final double HELD_SHARE = 0.5;

    static final double JOURNAL_SHARE = 0.8;
    /** Bytes that a remembered id takes on the heap, and the part of the heap that all may take. */
    static final long SEEN_HELD = 300;

    static final double SEEN_SHARE = 0.25;
    /**
     * Bytes that a remembered id takes on the disk, twice for those that are over and while the file is written anew.
     */
    static final long SEEN_RECORD = 3 * 60;
    /**
     * Bytes that a remembered endpoint takes in a picture, and the part of {@code memory.limit} that a picture may
     * take.
     */
    static final long REMEMBERED = 150;

    static final double PICTURE_SHARE = 0.3;
    /** Bytes that an open HTTP/2 stream takes on the heap beside its body, as measured with room. */
    static final long STREAM_HELD = 3 << 10;
    /** The part of the heap that open streams may take, and half-read bodies. */
    static final double STREAM_SHARE = 0.2;

    private static final long LARGEST_BUFFER = 4 << 20;
    private static final int BUFFER_PART = 8;
    private static final int LEAST_STREAMS = 16;
    private static final int USUAL_STREAMS = 100;
    private static final long LEAST_JOURNAL = 256 << 10;
    private static final double HEAD_ROOM = 1.1;
    private static final double SLOT_ROOM = 2;
    private static final int LEAST_MESSAGES = 12;
    private static final int LEAST_SLOTS = 2;
    private static final long USUAL_CONNECT = 1_500_000;
    private static final long LEAST_CONNECT = 50_000;
    private static final int CONNECT_PART = 8;
    private static final long MIB = 1 << 20;
    private static final long LARGEST_HEAP = 1L << 30;
    private static final long SMALL_MACHINE = 128 * MIB;
    private static final int FEWEST_CLIENTS = 8;

    /** The figures, and for each derived key how it came about. */
    public record Plan(DerivedSettings figures, Map<String, String> reasons) {}

    private Planner() {}

    /** Messages that may be open at once: each class's peak rate for as long as its messages may stay. */
    static double mostOpen(Declaration declared) {
        return declared.classes().stream()
                .mapToDouble(c -> c.peakRate() * c.deadline() / 1e6)
                .sum();
    }

    /** Calls that are out at once by Little's law: rate times response, at the slowest partner of each class. */
    static double mostCalls(Declaration declared) {
        return declared.classes().stream()
                .mapToDouble(c -> c.peakRate() * slowest(declared, c) / 1e6)
                .sum();
    }

    private static long slowest(Declaration declared, Declaration.MessageClass type) {
        // With partners known to discovery alone, the wanted time is all that is said of their pace.
        return declared.partnersOf(type).stream()
                .mapToLong(Declaration.Partner::response)
                .max()
                .orElse(type.wanted());
    }

    /** Bytes of the bodies of all messages that may be open, each class at its usual size and most messages. */
    static double openBytes(Declaration declared, long beside) {
        return declared.classes().stream()
                .mapToDouble(c -> c.peakRate() * c.deadline() / 1e6 * (c.body() + beside))
                .sum();
    }

    /** Bytes of so many open messages, mixed as declared. */
    static double bytes(Declaration declared, int messages, long beside) {
        double open = mostOpen(declared);
        return open > 0 ? openBytes(declared, beside) / open * messages : (double) messages * beside;
    }

    /** Works the figures out; what contradicts what was declared is for {@link ConsistencyChecks} to find. */
    public static Plan plan(Declaration declared) {
        Map<String, String> why = new LinkedHashMap<>();
        Declaration.Machine machine = declared.machine();
        double open = mostOpen(declared);
        int messages = whole(Math.max(LEAST_MESSAGES, Math.ceil(open * HEAD_ROOM)));
        why.put(
                "buffer.messages",
                text(
                        "peak rate times deadline over all classes is %.1f; with a tenth to spare, %d" + " at least",
                        open, LEAST_MESSAGES));
        double calls = mostCalls(declared);
        int slots = whole(Math.max(LEAST_SLOTS, Math.ceil(calls * SLOT_ROOM)));
        why.put(
                "calls.slots",
                text(
                        "Little's law: peak rate times response at the slowest partner keeps %.1f calls"
                                + " out; twice that, %d at least",
                        calls, LEAST_SLOTS));
        int sockets = Math.max(
                2,
                machine.descriptors()
                        - OTHER_DESCRIPTORS
                        - declared.amqp().queues().size());
        int endpoints = declared.endpoints().size();
        int listeners = declared.undeliverable().keep() ? Math.max(2, slots / 3) : 0;
        int connections = Math.max(slots, Math.min(slots + endpoints + listeners, sockets * 45 / 100));
        why.put(
                "calls.connections",
                text(
                        "one for each slot and, where descriptors allow, one idle for each of %d" + " endpoints%s",
                        endpoints, listeners > 0 ? " and some that listen for late answers" : ""));
        int clients = Math.max(FEWEST_CLIENTS, sockets - connections);
        why.put(
                "clients.connections",
                text(
                        "the rest of %d descriptors after %d for the process itself and %d calls",
                        machine.descriptors(), OTHER_DESCRIPTORS, connections));
        long shortest = declared.classes().stream()
                .mapToLong(Declaration.MessageClass::deadline)
                .min()
                .orElse(USUAL_CONNECT * CONNECT_PART);
        long connect = Math.max(LEAST_CONNECT, Math.min(USUAL_CONNECT, shortest / CONNECT_PART / 1000 * 1000));
        why.put(
                "calls.connect-timeout",
                text("an eighth of the shortest deadline (%s), 1.5s at the most", Units.ofSpan(shortest)));
        long idle = declared.kinds().stream()
                .mapToLong(Declaration.Kind::idle)
                .min()
                .orElse(10_000_000);
        why.put("calls.idle", "the shortest after which a kind of partner closes idle connections");
        boolean copies = declared.classes().stream().anyMatch(Declaration.MessageClass::secondCopies);
        why.put("calls.second-copies", copies ? "a class asks for them" : "no class asks for them");
        Declaration.Undeliverable kept = declared.undeliverable();
        long seen = declared.takesAmqp() ? declared.amqp().duplicates().entries() * SEEN_RECORD : 0;
        long remembered = declared.memory().keep() ? declared.memory().limit() : 0;
        long disk = Math.max(0, machine.disk() - (kept.keep() ? kept.limit() : 0) - seen - remembered);
        long journal = Math.max(LEAST_JOURNAL, wholeKib(disk * JOURNAL_SHARE));
        why.put(
                "journal.limit",
                text(
                        "four fifths of machine.disk (%s)" + (kept.keep() ? " less undeliverable.limit" : "")
                                + (seen > 0 ? " less what duplicates.entries take" : "")
                                + (remembered > 0 ? " less memory.limit" : "")
                                + "; open messages may take %.0f%% of it and need"
                                + " %s",
                        Units.ofSize(machine.disk()),
                        OPEN_SHARE * 100,
                        kib(bytes(declared, messages, RECORD))));
        long direct = machine.memory() >= SMALL_MACHINE ? 16 * MIB : 8 * MIB;
        why.put("process.direct", "buffers of sockets");
        long heap = Math.max(16 * MIB, Math.min(LARGEST_HEAP, (machine.memory() - direct - JVM_OWN) / MIB * MIB));
        why.put(
                "process.heap",
                text(
                        "machine.memory (%s) less direct memory and %s for the JVM itself, 1GiB at the" + " most",
                        Units.ofSize(machine.memory()), Units.ofSize(JVM_OWN)));
        int streams = whole(Math.max(LEAST_STREAMS, Math.min(2.0 * messages, heap * STREAM_SHARE / 2 / STREAM_HELD)));
        long buffer = Math.min(LARGEST_BUFFER, heap / BUFFER_PART);
        if (!declared.http2().isEmpty()) {
            why.put(
                    "clients.streams",
                    text(
                            "twice buffer.messages, since some are half read and some wait for their answer,"
                                    + " as far as a tenth of the heap holds them at %s each",
                            Units.ofSize(STREAM_HELD)));
            why.put(
                    "clients.buffer",
                    "an eighth of the heap, 4MiB at the most; half of it belongs to classes by their worth");
        }
        DerivedSettings figures = new DerivedSettings(
                key -> declaredFor(declared, key),
                messages,
                fallback("buffer.round"),
                slots,
                connections,
                (int) fallback("calls.attempts"),
                connect,
                idle,
                true,
                true,
                true,
                copies,
                clients,
                streams,
                buffer,
                journal,
                heap,
                direct,
                fallback("rules.drain-grace"),
                fraction("rules.fall-multiple"),
                fallback("rules.fall-span"),
                fraction("rules.cold-from"),
                fallback("rules.warm-up"),
                fallback("rules.order-pause"));
        return new Plan(figures, why);
    }

    /** Streams that one connection of a front is offered at the most. */
    public static int streams(Declaration.Http2 front, DerivedSettings figures) {
        return front.streams() > 0
                ? front.streams()
                : Math.min(USUAL_STREAMS, Math.min(figures.messages(), figures.streams()));
    }

    private static long fallback(String key) {
        String text = Schema.RELAY.of(key).orElseThrow().fallback();
        return text.matches("\\d+") ? Long.parseLong(text) : Units.span(text);
    }

    private static double fraction(String key) {
        return Double.parseDouble(Schema.RELAY.of(key).orElseThrow().fallback());
    }

    /** What staff can change where a derived figure doesn't fit: what it was derived from. */
    private static SettingLocation declaredFor(Declaration declared, String key) {
        String name =
                switch (key) {
                    case "journal.limit" -> "disk";
                    case "process.heap",
                            "process.direct",
                            "buffer.messages",
                            "clients.streams",
                            "clients.buffer" -> "memory";
                    case "rules.drain-grace" -> "stop-time";
                    default -> "descriptors";
                };
        return declared.machine().at().at(name);
    }

    private static int whole(double value) {
        return (int) Math.min(10_000_000, value);
    }

    private static long wholeKib(double bytes) {
        return (long) (bytes / 1024) * 1024;
    }

    static String kib(double bytes) {
        return text("%.0fKiB", Math.ceil(bytes / 1024));
    }

    static String text(String form, Object... values) {
        return String.format(Locale.ROOT, form, values);
    }

    /** The keys of all derived settings with their values as a file writes them, in the order of the schema. */
    public static Map<String, String> values(DerivedSettings f) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("buffer.messages", Integer.toString(f.messages()));
        values.put("buffer.round", span(f.round()));
        values.put("calls.slots", Integer.toString(f.slots()));
        values.put("calls.connections", Integer.toString(f.connections()));
        values.put("calls.attempts", Integer.toString(f.attempts()));
        values.put("calls.connect-timeout", span(f.connectTimeout()));
        values.put("calls.idle", span(f.idle()));
        values.put("calls.cancel", Boolean.toString(f.cancel()));
        values.put("calls.probes", Boolean.toString(f.probes()));
        values.put("calls.reports", Boolean.toString(f.reports()));
        values.put("calls.second-copies", Boolean.toString(f.secondCopies()));
        values.put("clients.connections", Integer.toString(f.clients()));
        values.put("clients.streams", Integer.toString(f.streams()));
        values.put("clients.buffer", size(f.buffer()));
        values.put("journal.limit", size(f.journal()));
        values.put("process.heap", size(f.heap()));
        values.put("process.direct", size(f.direct()));
        values.put("rules.drain-grace", span(f.drainGrace()));
        values.put("rules.fall-multiple", Double.toString(f.fallMultiple()));
        values.put("rules.fall-span", span(f.fallSpan()));
        values.put("rules.cold-from", Double.toString(f.coldFrom()));
        values.put("rules.warm-up", span(f.warmUp()));
        values.put("rules.order-pause", span(f.orderPause()));
        return values;
    }

    private static String span(long micros) {
        return '"' + Units.ofSpan(micros) + '"';
    }

    private static String size(long bytes) {
        return '"' + Units.ofSize(bytes) + '"';
    }

    /** The start line for a relay file. */
    public static String startLine(DerivedSettings f, String relayFile) {
        return "java -XX:-UsePerfData -Xms" + Math.min(48, f.heap() / MIB) + "m -Xmx" + f.heap() / MIB
                + "m -XX:MaxDirectMemorySize=" + f.direct() / MIB + "m -XX:MaxMetaspaceSize=40m"
                + " -XX:ReservedCodeCacheSize=24m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                + " -XX:+ExitOnOutOfMemoryError -Dio.netty.allocator.type=unpooled -jar loftflow.jar serve --config "
                + relayFile;
    }

    /** Kinds that classes go to, with partners that discovery tells of later. */
    static List<String> kindNames(Declaration declared) {
        return declared.kinds().stream().map(Declaration.Kind::name).toList();
    }
}
