package loftflow.listener.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import loftflow.engine.EventLoopLag;
import org.junit.jupiter.api.Test;

/** From when a message's time counts, by a clock that the test moves. */
class UnreadSinceTest {
    private long now = 1_000_000;
    private final ArrayDeque<Runnable> beats = new ArrayDeque<>();
    private final EventLoopLag pulse = new EventLoopLag(
            (micros, task) -> {
                beats.add(task);
                return () -> {};
            },
            () -> now);
    private final Acceptor door = new Acceptor(pulse, channel -> {});

    private void pass(long micros) {
        now += micros;
        beats.poll().run();
    }

    @Test
    void firstBytesMayHaveWaitedWithTheirConnectionAndLaterOnesNot() {
        pulse.start();
        pass(300_000);
        pass(300_000);
        UnreadSince unread = new UnreadSince(door, now);
        assertEquals(1_300_000, unread.since(), "it can have come when the pass before the last one looked");
        pass(10_000);
        assertEquals(1_300_000, unread.since(), "still of the pass that accepted it");
        pass(10_000);
        pass(10_000);
        assertEquals(1_620_000, unread.since());
        pass(60_000_000);
        pass(10_000);
        assertEquals(61_620_000 + 10_000, unread.since(), "a minute of silence is no minute of waiting");
    }

    @Test
    void bytesThatWaitedWhileNothingWasReadAreAsOldAsThePause() {
        pulse.start();
        UnreadSince unread = new UnreadSince(door, now);
        for (int i = 0; i < 10; i++) {
            pass(10_000);
        }
        unread.paused();
        long since = unread.since();
        pass(5_000_000);
        unread.paused();
        pass(10_000);
        pass(10_000);
        assertEquals(since, unread.since());
        unread.caughtUp();
        assertEquals(now - 10_000, unread.since());
    }
}
