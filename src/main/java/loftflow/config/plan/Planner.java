package loftflow.config.plan;

import static loftflow.config.plan.SizingModel.text;

import java.util.LinkedHashMap;
import java.util.Map;
import loftflow.config.file.Units;
import loftflow.config.schema.Schema;
import loftflow.config.schema.SettingLocation;

/**
 * Derives the settings of a relay from its declaration, and explains each of them. Free of I/O: the same declaration
 * gives the same settings.
 */
public final class Planner {
    private static final double BUFFER_HEADROOM = 1.1;
    private static final int MIN_MESSAGES = 12;
    private static final double CALL_HEADROOM = 2;
    private static final int MIN_CALLS = 2;
    private static final int MAX_COUNT = 10_000_000;
    private static final int MIN_SOCKETS = 2;
    private static final int MIN_LATE_RESPONSE_CONNECTIONS = 2;
    private static final int LATE_RESPONSE_DIVISOR = 3;
    /** The percentage of the sockets that connections to endpoints may use beyond the concurrent call limit. */
    private static final int MAX_ENDPOINT_SOCKET_PERCENT = 45;

    private static final int MIN_CLIENTS = 8;
    private static final long MAX_CONNECT_TIMEOUT_MICROS = 1_500_000;
    private static final long MIN_CONNECT_TIMEOUT_MICROS = 50_000;
    private static final int CONNECT_TIMEOUT_DIVISOR = 8;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double JOURNAL_DISK_SHARE = 0.8;
    private static final long MIN_JOURNAL_BYTES = 256 << 10;
    private static final long BYTES_PER_KIB = 1 << 10;
    private static final long BYTES_PER_MIB = 1 << 20;
    private static final long MAX_HEAP_BYTES = 1L << 30;
    private static final long MIN_HEAP_BYTES = 16 * BYTES_PER_MIB;
    private static final long SMALL_MACHINE_BYTES = 128 * BYTES_PER_MIB;
    private static final long DIRECT_BYTES = 16 * BYTES_PER_MIB;
    private static final long SMALL_DIRECT_BYTES = 8 * BYTES_PER_MIB;
    private static final int MIN_STREAMS = 16;
    private static final int MAX_STREAMS_PER_CONNECTION = 100;
    private static final long MAX_REQUEST_BUFFER_BYTES = 4 << 20;
    private static final int REQUEST_BUFFER_DIVISOR = 8;

    /** The derived settings, and for each key the explanation. */
    public record Plan(DerivedSettings figures, Map<String, String> reasons) {}

    private final Declaration declared;
    private final Map<String, String> reasons = new LinkedHashMap<>();

    private Planner(Declaration declared) {
        this.declared = declared;
    }

    /** Derives the settings. Contradictions with the declaration are found by {@link ConsistencyChecks}. */
    public static Plan plan(Declaration declared) {
        Planner planner = new Planner(declared);
        return new Plan(planner.settings(), planner.reasons);
    }

    private DerivedSettings settings() {
        int messages = messages();
        int calls = concurrentCalls();
        int sockets = sockets();
        int connections = connections(calls, sockets);
        int clients = clients(sockets, connections);
        long connectTimeoutMicros = connectTimeoutMicros();
        long idleMicros = idleMicros();
        boolean secondCopies = secondCopies();
        long journalBytes = journalBytes(messages);
        long directBytes = directBytes();
        long heapBytes = heapBytes(directBytes);
        int streams = streams(messages, heapBytes);
        long requestBufferBytes = requestBufferBytes(heapBytes);
        return new DerivedSettings(
                key -> declaredFor(declared, key),
                messages,
                fallback("buffer.round"),
                calls,
                connections,
                (int) fallback("calls.attempts"),
                connectTimeoutMicros,
                idleMicros,
                true,
                true,
                true,
                secondCopies,
                clients,
                streams,
                requestBufferBytes,
                journalBytes,
                heapBytes,
                directBytes,
                fallback("rules.drain-grace"),
                fraction("rules.fall-multiple"),
                fallback("rules.fall-span"),
                fraction("rules.cold-from"),
                fallback("rules.warm-up"),
                fallback("rules.order-pause"));
    }

    private int messages() {
        double open = SizingModel.openMessages(declared);
        reasons.put(
                "buffer.messages",
                text(
                        "peak rate times deadline over all classes is %.1f; with a tenth to spare, %d at least",
                        open, MIN_MESSAGES));
        return count(Math.max(MIN_MESSAGES, Math.ceil(open * BUFFER_HEADROOM)));
    }

    private int concurrentCalls() {
        double calls = SizingModel.concurrentCalls(declared);
        reasons.put(
                "calls.slots",
                text(
                        "Little's law: peak rate times response at the slowest partner keeps %.1f calls"
                                + " out; twice that, %d at least",
                        calls, MIN_CALLS));
        return count(Math.max(MIN_CALLS, Math.ceil(calls * CALL_HEADROOM)));
    }

    /** Descriptors that are left for connections of clients and to endpoints. */
    private int sockets() {
        int queues = declared.amqp().queues().size();
        return Math.max(MIN_SOCKETS, declared.machine().descriptors() - SizingModel.OTHER_DESCRIPTORS - queues);
    }

    private int connections(int calls, int sockets) {
        int endpoints = declared.endpoints().size();
        int lateResponses = declared.deadLetters().isEnabled()
                ? Math.max(MIN_LATE_RESPONSE_CONNECTIONS, calls / LATE_RESPONSE_DIVISOR)
                : 0;
        reasons.put(
                "calls.connections",
                text(
                        "one for each slot and, where descriptors allow, one idle for each of %d endpoints%s",
                        endpoints, lateResponses > 0 ? " and some that listen for late answers" : ""));
        int wanted = calls + endpoints + lateResponses;
        return Math.max(calls, Math.min(wanted, sockets * MAX_ENDPOINT_SOCKET_PERCENT / 100));
    }

    private int clients(int sockets, int connections) {
        reasons.put(
                "clients.connections",
                text(
                        "the rest of %d descriptors after %d for the process itself and %d calls",
                        declared.machine().descriptors(), SizingModel.OTHER_DESCRIPTORS, connections));
        return Math.max(MIN_CLIENTS, sockets - connections);
    }

    private long connectTimeoutMicros() {
        long shortestMicros = declared.classes().stream()
                .mapToLong(Declaration.MessageClass::deadlineMicros)
                .min()
                .orElse(MAX_CONNECT_TIMEOUT_MICROS * CONNECT_TIMEOUT_DIVISOR);
        reasons.put(
                "calls.connect-timeout",
                text(
                        "an eighth of the shortest deadline (%s), 1.5s at the most",
                        Units.formatDuration(shortestMicros)));
        long wholeMillis = shortestMicros / CONNECT_TIMEOUT_DIVISOR / MICROS_PER_MILLI * MICROS_PER_MILLI;
        return Math.max(MIN_CONNECT_TIMEOUT_MICROS, Math.min(MAX_CONNECT_TIMEOUT_MICROS, wholeMillis));
    }

    private long idleMicros() {
        reasons.put("calls.idle", "the shortest after which a kind of partner closes idle connections");
        return declared.kinds().stream()
                .mapToLong(Declaration.DestinationKind::idleTimeoutMicros)
                .min()
                .orElse(Declaration.DEFAULT_IDLE_TIMEOUT_MICROS);
    }

    private boolean secondCopies() {
        boolean copies = declared.classes().stream().anyMatch(Declaration.MessageClass::isHedged);
        reasons.put("calls.second-copies", copies ? "a class asks for them" : "no class asks for them");
        return copies;
    }

    private long journalBytes(int messages) {
        boolean storesDeadLetters = declared.deadLetters().isEnabled();
        long deadLetterBytes = declared.deadLetters().reservedBytes();
        long seenIdBytes = declared.takesAmqp()
                ? declared.amqp().deduplication().maxEntries() * SizingModel.DISK_BYTES_PER_SEEN_ID
                : 0;
        long snapshotBytes = declared.warmStart().reservedBytes();
        long machineBytes = declared.machine().diskBytes();
        reasons.put(
                "journal.limit",
                text(
                        "four fifths of machine.disk (%s)" + (storesDeadLetters ? " less undeliverable.limit" : "")
                                + (seenIdBytes > 0 ? " less what duplicates.entries take" : "")
                                + (snapshotBytes > 0 ? " less memory.limit" : "")
                                + "; open messages may take %.0f%% of it and need %s",
                        Units.formatSize(machineBytes),
                        SizingModel.OPEN_JOURNAL_SHARE * 100,
                        SizingModel.kib(
                                SizingModel.bytesOf(declared, messages, SizingModel.JOURNAL_BYTES_PER_MESSAGE))));
        long freeBytes = Math.max(0, machineBytes - deadLetterBytes - seenIdBytes - snapshotBytes);
        return Math.max(MIN_JOURNAL_BYTES, wholeKib(freeBytes * JOURNAL_DISK_SHARE));
    }

    private long directBytes() {
        reasons.put("process.direct", "buffers of sockets");
        return declared.machine().memoryBytes() >= SMALL_MACHINE_BYTES ? DIRECT_BYTES : SMALL_DIRECT_BYTES;
    }

    private long heapBytes(long directBytes) {
        long machineBytes = declared.machine().memoryBytes();
        reasons.put(
                "process.heap",
                text(
                        "machine.memory (%s) less direct memory and %s for the JVM itself, 1GiB at the most",
                        Units.formatSize(machineBytes), Units.formatSize(SizingModel.JVM_BYTES)));
        long wholeMib = (machineBytes - directBytes - SizingModel.JVM_BYTES) / BYTES_PER_MIB * BYTES_PER_MIB;
        return Math.max(MIN_HEAP_BYTES, Math.min(MAX_HEAP_BYTES, wholeMib));
    }

    /** Streams may use half of the share of the heap that the consistency checks allow. */
    private int streams(int messages, long heapBytes) {
        if (!declared.http2().isEmpty()) {
            reasons.put(
                    "clients.streams",
                    text(
                            "twice buffer.messages, since some are half read and some wait for their answer,"
                                    + " as far as a tenth of the heap holds them at %s each",
                            Units.formatSize(SizingModel.HEAP_BYTES_PER_STREAM)));
        }
        double fitting = heapBytes * SizingModel.STREAM_HEAP_SHARE / 2 / SizingModel.HEAP_BYTES_PER_STREAM;
        return count(Math.max(MIN_STREAMS, Math.min(2.0 * messages, fitting)));
    }

    private long requestBufferBytes(long heapBytes) {
        if (!declared.http2().isEmpty()) {
            reasons.put(
                    "clients.buffer",
                    "an eighth of the heap, 4MiB at the most; half of it belongs to classes by their worth");
        }
        return Math.min(MAX_REQUEST_BUFFER_BYTES, heapBytes / REQUEST_BUFFER_DIVISOR);
    }

    /** The limit on concurrent streams that a listener advertises to each connection. */
    public static int streams(Declaration.Http2 listener, DerivedSettings settings) {
        return listener.maxStreams() > 0
                ? listener.maxStreams()
                : Math.min(
                        MAX_STREAMS_PER_CONNECTION, Math.min(settings.maxOpenMessages(), settings.maxHttp2Streams()));
    }

    private static long fallback(String key) {
        String text = Schema.RELAY.of(key).orElseThrow().fallback();
        return text.matches("\\d+") ? Long.parseLong(text) : Units.parseDurationMicros(text);
    }

    private static double fraction(String key) {
        return Double.parseDouble(Schema.RELAY.of(key).orElseThrow().fallback());
    }

    /** The declared setting from which a derived one follows, which operators can change if it does not fit. */
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
        return declared.machine().table().at(name);
    }

    private static int count(double value) {
        return (int) Math.min(MAX_COUNT, value);
    }

    private static long wholeKib(double bytes) {
        return (long) (bytes / BYTES_PER_KIB) * BYTES_PER_KIB;
    }
}
