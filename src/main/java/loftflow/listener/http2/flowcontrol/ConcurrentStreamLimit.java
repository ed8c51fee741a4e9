package loftflow.listener.http2.flowcontrol;

/**
 * Computes the number of concurrent streams to offer to each connection (SETTINGS_MAX_CONCURRENT_STREAMS) and adapts it
 * to the load: it is halved while the relay is overloaded, and increased by a quarter while the load is low. Clients
 * then queue requests that the relay would otherwise reject. The offers to all busy connections together stay within
 * the total, unless the minimum per connection requires more; {@link #allowsNewStream} enforces the total.
 */
public final class ConcurrentStreamLimit {
    /** The minimum time between two changes of the level, so that clients can adapt to the first change. */
    public static final long MIN_STEP_MICROS = 250_000;

    /** The utilization of the message table above which the relay counts as overloaded. */
    static final double HIGH_UTILIZATION = 0.8;
    /** The utilization below which the level may increase. */
    static final double LOW_UTILIZATION = 0.6;
    /** The event-loop lag above which the relay counts as overloaded. From 400 ms on, messages are rejected. */
    static final long HIGH_LAG_MICROS = 150_000;

    private static final double INCREASE_FACTOR = 1.25;
    private static final double DECREASE_FACTOR = 0.5;

    /**
     * Bounds, in streams.
     *
     * @param minPerConnection the minimum offer to a connection
     * @param maxPerConnection the maximum offer to a connection
     * @param maxTotal the maximum number of open streams of all connections together
     */
    public record Bounds(int minPerConnection, int maxPerConnection, int maxTotal) {
        /**
         * Checks the bounds.
         *
         * @throws IllegalArgumentException if the minimum is below 1 or above another bound
         */
        public Bounds {
            if (minPerConnection < 1 || maxPerConnection < minPerConnection || maxTotal < minPerConnection) {
                throw new IllegalArgumentException("HTTP/2 stream limits: minPerConnection=" + minPerConnection
                        + " must be at least 1 and at most maxPerConnection=" + maxPerConnection + " and maxTotal="
                        + maxTotal);
            }
        }
    }

    /**
     * The load of the relay.
     *
     * @param utilization the share of the message table that is in use, from 0 to 1
     * @param lagMicros the maximum time, in microseconds, for which bytes that are read now may have been pending
     * @param rejections the number of streams and messages rejected for lack of capacity since the last observation
     */
    public record Load(double utilization, long lagMicros, int rejections) {}

    private final Bounds bounds;
    /** The share of the bounds that is offered, from 0 to 1. */
    private double level = 1;

    private long changedAtMicros = Long.MIN_VALUE / 2;

    /** Creates a limit that initially offers the maximum. */
    public ConcurrentStreamLimit(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Adapts the level to the load; it changes at most once in {@link #MIN_STEP_MICROS}. */
    public void observe(Load load, long nowMicros) {
        if (nowMicros - changedAtMicros < MIN_STEP_MICROS) {
            return;
        }
        boolean isOverloaded =
                load.utilization() > HIGH_UTILIZATION || load.lagMicros() > HIGH_LAG_MICROS || load.rejections() > 0;
        double next = level;
        if (isOverloaded) {
            double minLevel = (double) bounds.minPerConnection() / bounds.maxTotal();
            next = Math.max(minLevel, level * DECREASE_FACTOR);
        } else if (load.utilization() < LOW_UTILIZATION && load.lagMicros() < HIGH_LAG_MICROS / 2) {
            next = Math.min(1, level * INCREASE_FACTOR);
        }
        if (next != level) {
            level = next;
            changedAtMicros = nowMicros;
        }
    }

    /** Returns the number of streams to offer to each of the busy connections. */
    public int perConnection(int busyConnections) {
        int share = (int) (level * bounds.maxTotal() / Math.max(1, busyConnections));
        int max = (int) Math.max(bounds.minPerConnection(), level * bounds.maxPerConnection());
        return Math.max(bounds.minPerConnection(), Math.min(share, max));
    }

    /**
     * Returns whether a changed offer is to be sent to a connection: it has decreased by more than a quarter, increased
     * by at least a quarter, or reached the maximum. Smaller changes are not sent.
     */
    public boolean shouldAnnounce(int lastSent, int current) {
        return current < lastSent * 3 / 4
                || current >= Math.max(lastSent + 1, lastSent * 5 / 4)
                || current > lastSent && current == bounds.maxPerConnection();
    }

    /** Returns whether another stream may be opened, given the open streams of all connections. */
    public boolean allowsNewStream(int openStreams) {
        return openStreams < bounds.maxTotal();
    }
}
