package loftflow.experiment.history;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Counters of the load that a fleet puts on its partners, by relay and by endpoint. Not thread-safe. */
public final class CallCounts {
    /** A counted event. */
    public enum Metric {
        /** Calls received by an endpoint. */
        CALLS("calls"),
        /** Health probes received by an endpoint. */
        PROBES("checks"),
        /** Calls and probes rejected because the endpoint was at capacity. */
        REJECTED("refused"),
        /** Calls and probes whose connection could not be established. */
        CONNECT_FAILED("unreached"),
        /** Calls and probes without a response. */
        NO_RESPONSE("unanswered"),
        /** Connections accepted by an endpoint; always 0 in the emulator, which has no connections. */
        CONNECTIONS("connections"),
        /** Endpoint lists, full ones and deltas, received by a relay. */
        ENDPOINT_LISTS("lists");

        private final String code;

        Metric(String code) {
            this.code = code;
        }

        /** The name in printed reports. */
        public String code() {
            return code;
        }
    }

    /** Index of an unknown relay, such as the sender of a probe, or of no endpoint. */
    public static final int NONE = -1;

    /** The relay or endpoint with the highest count; the lowest index where several share it. */
    public record Maximum(int index, long count) {}

    private final Map<Metric, Map<Integer, Long>> byRelay = new EnumMap<>(Metric.class);
    private final Map<Metric, Map<Integer, Long>> byEndpoint = new EnumMap<>(Metric.class);
    private final Map<Metric, Long> totals = new EnumMap<>(Metric.class);

    /** Adds one event of a relay at an endpoint; either index may be {@link #NONE}. */
    public void count(Metric metric, int relay, int endpoint) {
        totals.merge(metric, 1L, Long::sum);
        increment(byRelay, metric, relay);
        increment(byEndpoint, metric, endpoint);
    }

    private static void increment(Map<Metric, Map<Integer, Long>> counts, Metric metric, int index) {
        if (index != NONE) {
            counts.computeIfAbsent(metric, m -> new HashMap<>()).merge(index, 1L, Long::sum);
        }
    }

    /** The sum over all relays. */
    public long total(Metric metric) {
        return totals.getOrDefault(metric, 0L);
    }

    /** The relay with the highest count; {@link #NONE} with 0 where there is none. */
    public Maximum busiestRelay(Metric metric) {
        return maximum(byRelay, metric);
    }

    /** The endpoint with the highest count; {@link #NONE} with 0 where there is none. */
    public Maximum busiestEndpoint(Metric metric) {
        return maximum(byEndpoint, metric);
    }

    private static Maximum maximum(Map<Metric, Map<Integer, Long>> counts, Metric metric) {
        return counts.getOrDefault(metric, Map.of()).entrySet().stream()
                .map(entry -> new Maximum(entry.getKey(), entry.getValue()))
                .max(Comparator.comparingLong(Maximum::count).thenComparing(Maximum::index, Comparator.reverseOrder()))
                .orElse(new Maximum(NONE, 0));
    }
}
