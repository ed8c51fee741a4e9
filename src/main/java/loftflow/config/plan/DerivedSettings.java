package loftflow.config.plan;

import java.util.function.Function;
import loftflow.config.schema.SettingLocation;
import loftflow.config.schema.TableReader;

/**
 * What one relay runs by beyond what was declared: derived by {@link Planner} or read from a relay file.
 *
 * @param locations the location of a setting, by its key, for findings
 */
public record DerivedSettings(
        Function<String, SettingLocation> locations,
        int maxOpenMessages,
        long roundPeriodMicros,
        int maxConcurrentCalls,
        int maxUpstreamConnections,
        int maxAttempts,
        long connectTimeoutMicros,
        long upstreamIdleTimeoutMicros,
        boolean isCancellationEnabled,
        boolean areProbesEnabled,
        boolean areLoadReportsEnabled,
        boolean areHedgedAttemptsEnabled,
        int maxClientConnections,
        int maxHttp2Streams,
        long http2BodyBufferBytes,
        long journalBytes,
        long heapBytes,
        long directMemoryBytes,
        long drainGraceMicros,
        double overloadMultiple,
        long overloadWindowMicros,
        double coldCapacityShare,
        long warmUpMicros,
        long orderingPauseMicros) {

    /** Reads the figures of a relay file. */
    public static DerivedSettings of(TableReader top) {
        TableReader calls = top.table("calls");
        TableReader rules = top.table("rules");
        return new DerivedSettings(
                key -> {
                    int dot = key.indexOf('.');
                    return top.table(key.substring(0, dot)).at(key.substring(dot + 1));
                },
                (int) top.table("buffer").whole("messages"),
                top.table("buffer").whole("round"),
                (int) calls.whole("slots"),
                (int) calls.whole("connections"),
                (int) calls.whole("attempts"),
                calls.whole("connect-timeout"),
                calls.whole("idle"),
                calls.flag("cancel"),
                calls.flag("probes"),
                calls.flag("reports"),
                calls.flag("second-copies"),
                (int) top.table("clients").whole("connections"),
                (int) top.table("clients").whole("streams"),
                top.table("clients").whole("buffer"),
                top.table("journal").whole("limit"),
                top.table("process").whole("heap"),
                top.table("process").whole("direct"),
                rules.whole("drain-grace"),
                rules.number("fall-multiple"),
                rules.whole("fall-span"),
                rules.number("cold-from"),
                rules.whole("warm-up"),
                rules.whole("order-pause"));
    }
}
