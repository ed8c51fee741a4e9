package loftflow.engine;

import java.util.function.LongConsumer;

/**
 * Computes an upper bound on how long the bytes that are read now have waited unread. A pass of the event loop reads
 * sockets, then runs timers. A timer of this class samples the clock at a fixed interval. Bytes read after the latest
 * sample arrived no earlier than the sample before it, because the pass that took the latest sample had read all bytes
 * that had arrived before that pass.
 */
public final class EventLoopLag {
    /** Interval between samples; the age of a message is overestimated by up to twice this interval. */
    private static final long SAMPLE_INTERVAL_MICROS = 10_000;

    /** A longer gap between samples is reported: the event loop of a healthy relay stalls for at most 0.15 s. */
    private static final long STALL_MICROS = 150_000;

    private final Timers timers;
    private final Clock clock;
    private final LongConsumer onStall;
    private long lastSampleMicros;
    private long previousSampleMicros;

    /** Creates a tracker whose bound is the time of construction until {@link #start}; stalls are not reported. */
    public EventLoopLag(Timers timers, Clock clock) {
        this(timers, clock, stalledMicros -> {});
    }

    /**
     * Creates a tracker whose bound is the time of construction until {@link #start}.
     *
     * @param onStall receives the length of each stall, in microseconds: a gap between samples of more than 0.15 s
     */
    public EventLoopLag(Timers timers, Clock clock, LongConsumer onStall) {
        this.onStall = onStall;
        this.timers = timers;
        this.clock = clock;
        lastSampleMicros = clock.micros();
        previousSampleMicros = lastSampleMicros;
    }

    /** Starts sampling; to be called once, on the event loop. */
    public void start() {
        sample();
    }

    private void sample() {
        previousSampleMicros = lastSampleMicros;
        lastSampleMicros = clock.micros();
        if (lastSampleMicros - previousSampleMicros > STALL_MICROS) {
            onStall.accept(lastSampleMicros - previousSampleMicros);
        }
        timers.schedule(SAMPLE_INTERVAL_MICROS, this::sample);
    }

    /** Returns the earliest possible arrival time of bytes that are read now, in microseconds since the epoch. */
    public long unreadSinceMicros() {
        return previousSampleMicros;
    }
}
