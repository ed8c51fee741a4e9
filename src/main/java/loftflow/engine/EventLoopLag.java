package loftflow.engine;

/**
 * Tells since when bytes that are read now may have lain unread. A pass of the loop reads, then runs its timers:
 * what it reads had not come when the pass before it looked, and no pass runs two beats.
 */
public final class EventLoopLag {
    /** Every message counts as up to two beats older than it is. */
    private static final long BEAT = 10_000;

    private final Timers timers;
    private final Clock clock;
    private long last;
    private long beforeLast;

    public EventLoopLag(Timers timers, Clock clock) {
        this.timers = timers;
        this.clock = clock;
        last = clock.micros();
        beforeLast = last;
    }

    /** Beats from now on; until then everything counts as having come at the start. */
    public void start() {
        beforeLast = last;
        last = clock.micros();
        timers.schedule(BEAT, this::start);
    }

    /** The earliest time at which what is read or accepted now can have come. */
    public long unreadSince() {
        return beforeLast;
    }
}
