package loftflow.experiment.history;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** What a fleet's relays cost its partners, counted by relay and by endpoint as it happens. */
public final class CallCounts {
    /** What is counted. */
    public enum Of {
        /** Calls that came to an endpoint. */
        CALLS,
        /** Checks that came to one. */
        CHECKS,
        /** Calls and checks that it refused as full. */
        REFUSED,
        /** Calls and checks that found nobody. */
        UNREACHED,
        /** Calls and checks that got no answer. */
        UNANSWERED,
        /** Connections that it took; none in the emulator, whose calls need none. */
        CONNECTIONS,
        /** Lists, whole ones and changes, that a relay was told. */
        LISTS
    }

    /** A relay that nobody knows, as a check does not say whose it is; and no endpoint. */
    public static final int NONE = -1;

    /** Who had the most of something, and how much; the first one where several had as much. */
    public record Most(int who, long count) {}

    private final Map<Of, Map<Integer, Long>> byRelay = new EnumMap<>(Of.class);
    private final Map<Of, Map<Integer, Long>> byEndpoint = new EnumMap<>(Of.class);
    private final Map<Of, Long> totals = new EnumMap<>(Of.class);

    /** One more, of a relay at an endpoint; either may be {@link #NONE}. */
    public void count(Of what, int relay, int endpoint) {
        totals.merge(what, 1L, Long::sum);
        add(byRelay, what, relay);
        add(byEndpoint, what, endpoint);
    }

    private static void add(Map<Of, Map<Integer, Long>> counts, Of what, int who) {
        if (who != NONE) {
            counts.computeIfAbsent(what, w -> new HashMap<>()).merge(who, 1L, Long::sum);
        }
    }

    /** Of all relays together. */
    public long total(Of what) {
        return totals.getOrDefault(what, 0L);
    }

    /** The relay with the most; {@link #NONE} with 0 where there was none. */
    public Most mostOfRelays(Of what) {
        return most(byRelay, what);
    }

    /** The endpoint with the most. */
    public Most mostOfEndpoints(Of what) {
        return most(byEndpoint, what);
    }

    private static Most most(Map<Of, Map<Integer, Long>> counts, Of what) {
        return counts.getOrDefault(what, Map.of()).entrySet().stream()
                .map(e -> new Most(e.getKey(), e.getValue()))
                .max(Comparator.comparingLong(Most::count).thenComparing(Most::who, Comparator.reverseOrder()))
                .orElse(new Most(NONE, 0));
    }
}
