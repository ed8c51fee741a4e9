package loftflow.upstream.http;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Logs why connections to hosts were closed: at once where that leaves outcomes unproven, else as counts at most every
 * {@value #INTERVAL_SECONDS} s. Not thread-safe.
 */
final class ConnectionCloseLog {
    private static final long INTERVAL_SECONDS = 10;

    private final LongSupplier nanoClock;
    private final Consumer<String> logger;
    private final Map<ConnectionCloseReason, Integer> counts = new EnumMap<>(ConnectionCloseReason.class);
    private long reportedAtNanos;

    /**
     * Creates a log without counts.
     *
     * @param nanoClock the monotonic clock, in nanoseconds
     * @param logger receives the lines
     */
    ConnectionCloseLog(LongSupplier nanoClock, Consumer<String> logger) {
        this.nanoClock = nanoClock;
        this.logger = logger;
        reportedAtNanos = nanoClock.getAsLong();
    }

    /**
     * Counts a closed connection.
     *
     * @param retireReason why it carried no more calls
     * @param closeReason why it was closed
     * @param callCount the calls that it has carried
     * @param unprovenCount the calls whose outcome is no longer proven
     */
    void onClosed(
            String route,
            ConnectionCloseReason retireReason,
            ConnectionCloseReason closeReason,
            int callCount,
            int unprovenCount) {
        counts.merge(retireReason, 1, Integer::sum);
        if (unprovenCount > 0) {
            logger.accept("upstream: connection ended early route=" + route + " retired=" + retireReason.text()
                    + " reason=" + closeReason.text() + " calls=" + callCount + " unproven=" + unprovenCount);
        }
        if (nanoClock.getAsLong() - reportedAtNanos >= TimeUnit.SECONDS.toNanos(INTERVAL_SECONDS)) {
            reportedAtNanos = nanoClock.getAsLong();
            StringBuilder line = new StringBuilder("upstream: connections closed");
            counts.forEach((counted, count) ->
                    line.append(' ').append(counted.text()).append('=').append(count));
            logger.accept(line.toString());
            counts.clear();
        }
    }
}
