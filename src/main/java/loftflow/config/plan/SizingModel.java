package loftflow.config.plan;

import java.util.Locale;

/** Estimates of the memory, disk and connections that the declared traffic needs. */
final class SizingModel {
    /** Descriptors for everything but connections: the JVM, the journal, discovery, and a connection being accepted. */
    static final int OTHER_DESCRIPTORS = 36;
    /** Memory of the JVM beside heap and direct memory: classes, code, threads and the collector. */
    static final long JVM_BYTES = 40L << 20;
    /** Journal bytes of a message beside its body: ids, key, headers, and the records of a few attempts. */
    static final long JOURNAL_BYTES_PER_MESSAGE = 600;
    /** Heap bytes of an open message beside its body. */
    static final long HEAP_BYTES_PER_MESSAGE = 1 << 10;
    /** A body is held once more by a call, encoded. */
    static final int HEAP_BYTES_PER_BODY_BYTE = 2;
    /** The share of the journal that open messages may use; the rest is for completions and for compaction. */
    static final double OPEN_JOURNAL_SHARE = 0.3;
    /** The share of the heap that open messages may use. */
    static final double OPEN_HEAP_SHARE = 0.25;
    /** Heap bytes of an id in the deduplication window. */
    static final long HEAP_BYTES_PER_SEEN_ID = 300;
    /** The share of the heap that the deduplication window may use. */
    static final double SEEN_ID_HEAP_SHARE = 0.25;
    /** Disk bytes of an id in the deduplication window, with expired ids and a compaction in progress. */
    static final long DISK_BYTES_PER_SEEN_ID = 3 * 60;
    /** Bytes of an endpoint in a snapshot. */
    static final long SNAPSHOT_BYTES_PER_ENDPOINT = 150;
    /** The share of {@code memory.limit} that a snapshot may use. */
    static final double SNAPSHOT_SHARE = 0.3;
    /** Heap bytes of an open HTTP/2 stream beside its body. */
    static final long HEAP_BYTES_PER_STREAM = 3 << 10;
    /** The share of the heap that open streams may use, and the share that incomplete bodies may use. */
    static final double STREAM_HEAP_SHARE = 0.2;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double BYTES_PER_KIB = 1024;

    private SizingModel() {}

    /** Messages that may be open at the same time: the peak rate of each class for the time until its deadline. */
    static double openMessages(Declaration declared) {
        return declared.classes().stream()
                .mapToDouble(c -> c.peakRatePerSecond() * c.deadlineMicros() / MICROS_PER_SECOND)
                .sum();
    }

    /** Calls in flight by Little's law: rate times response time at the slowest partner of each class. */
    static double concurrentCalls(Declaration declared) {
        return declared.classes().stream()
                .mapToDouble(c -> c.peakRatePerSecond() * slowestResponseMicros(declared, c) / MICROS_PER_SECOND)
                .sum();
    }

    /** The latency objective stands in for the response time of partners that only discovery knows. */
    private static long slowestResponseMicros(Declaration declared, Declaration.MessageClass messageClass) {
        return declared.partnersOf(messageClass).stream()
                .mapToLong(Declaration.Destination::responseTimeMicros)
                .max()
                .orElse(messageClass.latencyObjectiveMicros());
    }

    /** Bytes of a number of open messages, mixed as declared, with some bytes for each beside its body. */
    static double bytesOf(Declaration declared, int messages, long bytesBesideBody) {
        double open = openMessages(declared);
        return open > 0 ? openBytes(declared, bytesBesideBody) / open * messages : (double) messages * bytesBesideBody;
    }

    private static double openBytes(Declaration declared, long bytesBesideBody) {
        return declared.classes().stream()
                .mapToDouble(c -> c.peakRatePerSecond()
                        * c.deadlineMicros()
                        / MICROS_PER_SECOND
                        * (c.bodyBytes() + bytesBesideBody))
                .sum();
    }

    /** A size in KiB, rounded up. */
    static String kib(double bytes) {
        return text("%.0fKiB", Math.ceil(bytes / BYTES_PER_KIB));
    }

    /** Formats a text independently of the locale. */
    static String text(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
