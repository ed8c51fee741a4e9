package loftflow.listener.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import loftflow.engine.EventLoopLag;
import org.junit.jupiter.api.Test;

/** The age of pending bytes, on a clock that the test advances. */
class UnreadSinceTest {
    private long nowMicros = 1_000_000;
    private final ArrayDeque<Runnable> scheduled = new ArrayDeque<>();
    private final EventLoopLag eventLoopLag = new EventLoopLag(
            (micros, task) -> {
                scheduled.add(task);
                return () -> {};
            },
            () -> nowMicros);
    private final Acceptor acceptor = new Acceptor(eventLoopLag, channel -> {});

    private void runIteration(long micros) {
        nowMicros += micros;
        scheduled.poll().run();
    }

    @Test
    void firstBytesMayHaveBeenPendingWithTheirConnection() {
        eventLoopLag.start();
        runIteration(300_000);
        runIteration(300_000);
        UnreadSince unread = new UnreadSince(acceptor, nowMicros);
        assertEquals(
                1_300_000,
                unread.earliestArrivalMicros(),
                "it can have arrived after the iteration before the last one polled");
        runIteration(10_000);
        assertEquals(1_300_000, unread.earliestArrivalMicros(), "still in the iteration that accepted it");
        runIteration(10_000);
        runIteration(10_000);
        assertEquals(1_620_000, unread.earliestArrivalMicros());
        runIteration(60_000_000);
        runIteration(10_000);
        assertEquals(61_620_000 + 10_000, unread.earliestArrivalMicros(), "idle time is not pending time");
    }

    @Test
    void bytesPendingDuringAPauseAreAsOldAsThePause() {
        eventLoopLag.start();
        UnreadSince unread = new UnreadSince(acceptor, nowMicros);
        for (int i = 0; i < 10; i++) {
            runIteration(10_000);
        }
        unread.onReadPaused();
        long pausedSince = unread.earliestArrivalMicros();
        runIteration(5_000_000);
        unread.onReadPaused();
        runIteration(10_000);
        runIteration(10_000);
        assertEquals(pausedSince, unread.earliestArrivalMicros());
        unread.onReadCaughtUp();
        assertEquals(nowMicros - 10_000, unread.earliestArrivalMicros());
    }
}
