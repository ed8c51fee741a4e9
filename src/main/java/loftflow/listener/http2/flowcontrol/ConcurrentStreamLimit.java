package loftflow.listener.http2.flowcontrol;

/**
 * How many streams clients are offered at once (SETTINGS_MAX_CONCURRENT_STREAMS), and how that changes in service. A
 * level
 * between a floor and all halves while the relay is short of room or time, and grows by a quarter a step while it is
 * not, so
 * that clients wait with what they have in place of having it refused. What is offered to all busy connections together
 * stays within the total, as far as each has its floor; the total itself is a hard bound ({@link #admits}).
 */
public final class ConcurrentStreamLimit {
    /** How long a level holds at the least, in microseconds: time for clients to heed it. */
    public static final long STEP = 250_000;

    /** Beyond this share of the messages that may be open there is no room to offer more. */
    static final double FULL = 0.8;
    /** Below it there is. */
    static final double ROOMY = 0.6;
    /** A pass of the loop that takes as long is a relay short of CPU; messages are refused from 400 ms on. */
    static final long SLOW = 150_000;

    private static final double GROWTH = 1.25;

    /**
     * Bounds, in streams.
     *
     * @param floor what every connection is offered at the least
     * @param most what one connection is offered at the most
     * @param total what all connections may have open
     */
    public record Bounds(int floor, int most, int total) {
        /** Bounds that hold together. */
        public Bounds {
            if (floor < 1 || most < floor || total < floor) {
                throw new IllegalArgumentException("floor " + floor + ", most " + most + ", total " + total);
            }
        }
    }

    /**
     * How the relay fares.
     *
     * @param fullness share of the messages that may be open which are
     * @param lag how long what is read now may have waited
     * @param refused streams or messages that were refused for want of room since the step before
     */
    public record Load(double fullness, long lag, int refused) {}

    private final Bounds bounds;
    private double level = 1;
    private long changed = Long.MIN_VALUE / 2;

    /** Offers all at first. */
    public ConcurrentStreamLimit(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Takes in how the relay fares; the level changes once a step at the most. */
    public void observe(Load load, long now) {
        if (now - changed < STEP) {
            return;
        }
        boolean pressed = load.fullness() > FULL || load.lag() > SLOW || load.refused() > 0;
        double next = level;
        if (pressed) {
            next = Math.max((double) bounds.floor() / bounds.total(), level / 2);
        } else if (load.fullness() < ROOMY && load.lag() < SLOW / 2) {
            next = Math.min(1, level * GROWTH);
        }
        if (next != level) {
            level = next;
            changed = now;
        }
    }

    /** What one of so many busy connections is offered now. */
    public int each(int busy) {
        int share = (int) (level * bounds.total() / Math.max(1, busy));
        return Math.max(bounds.floor(), Math.min(share, (int) Math.max(bounds.floor(), level * bounds.most())));
    }

    /**
     * True where what is offered to a connection is to be told anew: it shrinks by a quarter, or it has grown by as
     * much or to
     * all that there is, so that a client isn't told of each small step.
     */
    public boolean worthTelling(int told, int now) {
        return now < told * 3 / 4 || now >= Math.max(told + 1, told * 5 / 4) || now > told && now == bounds.most();
    }

    /** True where one more stream may be opened while so many are; one that may not is refused as never taken. */
    public boolean admits(int open) {
        return open < bounds.total();
    }
}
