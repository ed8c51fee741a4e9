package loftflow.config.plan;

import java.util.LinkedHashMap;
import java.util.Map;
import loftflow.config.file.Units;

/** Derived settings as text: the values of a relay file, and the command that starts the relay. */
public final class DerivedSettingsWriter {
    private static final long BYTES_PER_MIB = 1 << 20;
    private static final long MAX_INITIAL_HEAP_MIB = 48;

    private DerivedSettingsWriter() {}

    /** The keys of all derived settings with their values as a file writes them, in the order of the schema. */
    public static Map<String, String> values(DerivedSettings settings) {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("buffer.messages", Integer.toString(settings.maxOpenMessages()));
        values.put("buffer.round", duration(settings.roundPeriodMicros()));
        values.put("calls.slots", Integer.toString(settings.maxConcurrentCalls()));
        values.put("calls.connections", Integer.toString(settings.maxUpstreamConnections()));
        values.put("calls.attempts", Integer.toString(settings.maxAttempts()));
        values.put("calls.connect-timeout", duration(settings.connectTimeoutMicros()));
        values.put("calls.idle", duration(settings.upstreamIdleTimeoutMicros()));
        values.put("calls.cancel", Boolean.toString(settings.isCancellationEnabled()));
        values.put("calls.probes", Boolean.toString(settings.areProbesEnabled()));
        values.put("calls.reports", Boolean.toString(settings.areLoadReportsEnabled()));
        values.put("calls.second-copies", Boolean.toString(settings.areHedgedAttemptsEnabled()));
        values.put("clients.connections", Integer.toString(settings.maxClientConnections()));
        values.put("clients.streams", Integer.toString(settings.maxHttp2Streams()));
        values.put("clients.buffer", size(settings.http2BodyBufferBytes()));
        values.put("journal.limit", size(settings.journalBytes()));
        values.put("process.heap", size(settings.heapBytes()));
        values.put("process.direct", size(settings.directMemoryBytes()));
        values.put("rules.drain-grace", duration(settings.drainGraceMicros()));
        values.put("rules.fall-multiple", Double.toString(settings.overloadMultiple()));
        values.put("rules.fall-span", duration(settings.overloadWindowMicros()));
        values.put("rules.cold-from", Double.toString(settings.coldCapacityShare()));
        values.put("rules.warm-up", duration(settings.warmUpMicros()));
        values.put("rules.order-pause", duration(settings.orderingPauseMicros()));
        return values;
    }

    private static String duration(long micros) {
        return '"' + Units.formatDuration(micros) + '"';
    }

    private static String size(long bytes) {
        return '"' + Units.formatSize(bytes) + '"';
    }

    /** The command that starts a relay with a relay file. */
    public static String startLine(DerivedSettings settings, String relayFile) {
        long heapMib = settings.heapBytes() / BYTES_PER_MIB;
        return "java -XX:-UsePerfData -Xms" + Math.min(MAX_INITIAL_HEAP_MIB, heapMib) + "m -Xmx" + heapMib
                + "m -XX:MaxDirectMemorySize=" + settings.directMemoryBytes() / BYTES_PER_MIB
                + "m -XX:MaxMetaspaceSize=40m"
                + " -XX:ReservedCodeCacheSize=24m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                + " -XX:+ExitOnOutOfMemoryError -Dio.netty.allocator.type=unpooled -jar loftflow.jar serve --config "
                + relayFile;
    }
}
