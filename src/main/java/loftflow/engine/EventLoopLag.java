package loftflow.engine;

import java.util.function.LongConsumer;

/**
 * Bounds how long bytes that are read now may have waited unread. An event-loop pass reads sockets, then runs timers.
 * A timer of this class samples the clock at a fixed interval; bytes that are read after a sample arrived no earlier
 * than the sample before it, since the pass of that sample read everything that had arrived by then.
 */
public final class EventLoopLag {
    /** Interval between samples: the age of a message is overestimated by up to twice this. */
    private static final long SAMPLE_INTERVAL_MICROS = 10_000;

    /** A sample that comes later than this is reported: a relay is expected to be held up for 0.15 s at the most. */
    private static final long STALL_MICROS = 150_000;

    private final Timers timers;
    private final Clock clock;
    private final LongConsumer onStall;
    private long lastSampleMicros;
    private long previousSampleMicros;

    /** A bound that stays at the time of construction until {@link #start}. */
    public EventLoopLag(Timers timers, Clock clock) {
        this(timers, clock, stalledMicros -> {});
    }

    /**
     * As the other constructor.
     *
     * @param onStall receives for how many microseconds the event loop ran no timer, where that is long
     */
    public EventLoopLag(Timers timers, Clock clock, LongConsumer onStall) {
        this.onStall = onStall;
        this.timers = timers;
        this.clock = clock;
        lastSampleMicros = clock.micros();
        previousSampleMicros = lastSampleMicros;
    }

    /** Starts sampling; once, on the event loop. */
    public void start() {
        previousSampleMicros = lastSampleMicros;
        lastSampleMicros = clock.micros();
        if (lastSampleMicros - previousSampleMicros > STALL_MICROS) {
            onStall.accept(lastSampleMicros - previousSampleMicros);
        }
        timers.schedule(SAMPLE_INTERVAL_MICROS, this::start);
    }

    /** The earliest time at which bytes that are read now can have arrived, in microseconds since the epoch. */
    public long unreadSinceMicros() {
        return previousSampleMicros;
    }
}
