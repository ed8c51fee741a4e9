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
        values.put("buffer.messages", Integer.toString(settings.messages()));
        values.put("buffer.round", duration(settings.round()));
        values.put("calls.slots", Integer.toString(settings.slots()));
        values.put("calls.connections", Integer.toString(settings.connections()));
        values.put("calls.attempts", Integer.toString(settings.attempts()));
        values.put("calls.connect-timeout", duration(settings.connectTimeout()));
        values.put("calls.idle", duration(settings.idle()));
        values.put("calls.cancel", Boolean.toString(settings.cancel()));
        values.put("calls.probes", Boolean.toString(settings.probes()));
        values.put("calls.reports", Boolean.toString(settings.reports()));
        values.put("calls.second-copies", Boolean.toString(settings.secondCopies()));
        values.put("clients.connections", Integer.toString(settings.clients()));
        values.put("clients.streams", Integer.toString(settings.streams()));
        values.put("clients.buffer", size(settings.buffer()));
        values.put("journal.limit", size(settings.journal()));
        values.put("process.heap", size(settings.heap()));
        values.put("process.direct", size(settings.direct()));
        values.put("rules.drain-grace", duration(settings.drainGrace()));
        values.put("rules.fall-multiple", Double.toString(settings.fallMultiple()));
        values.put("rules.fall-span", duration(settings.fallSpan()));
        values.put("rules.cold-from", Double.toString(settings.coldFrom()));
        values.put("rules.warm-up", duration(settings.warmUp()));
        values.put("rules.order-pause", duration(settings.orderPause()));
        return values;
    }

    private static String duration(long micros) {
        return '"' + Units.ofSpan(micros) + '"';
    }

    private static String size(long bytes) {
        return '"' + Units.ofSize(bytes) + '"';
    }

    /** The command that starts a relay with a relay file. */
    public static String startLine(DerivedSettings settings, String relayFile) {
        long heapMib = settings.heap() / BYTES_PER_MIB;
        return "java -XX:-UsePerfData -Xms" + Math.min(MAX_INITIAL_HEAP_MIB, heapMib) + "m -Xmx" + heapMib
                + "m -XX:MaxDirectMemorySize=" + settings.direct() / BYTES_PER_MIB + "m -XX:MaxMetaspaceSize=40m"
                + " -XX:ReservedCodeCacheSize=24m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                + " -XX:+ExitOnOutOfMemoryError -Dio.netty.allocator.type=unpooled -jar loftflow.jar serve --config "
                + relayFile;
    }
}
