package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the steps of a graceful shutdown and their time limits. */
class GracefulGoAwayTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void shutdownAwaitsTheRoundTripAndEachOpenStream() {
        GracefulGoAway goAway = new GracefulGoAway();
        assertEquals(GracefulGoAway.Step.NONE, goAway.onPingAcknowledged(0), "no PING was sent");
        assertEquals(GracefulGoAway.Step.ANNOUNCE, goAway.begin(0, 2 * SECOND_MICROS));
        assertEquals(GracefulGoAway.Step.NONE, goAway.begin(1, 3 * SECOND_MICROS), "the shutdown has already begun");
        assertEquals(GracefulGoAway.Step.NONE, goAway.check(10, 0, false), "streams in transit are still accepted");
        assertFalse(goAway.rejectsNewStreams());
        assertEquals(GracefulGoAway.Step.SEND_LAST_STREAM_ID, goAway.onPingAcknowledged(20_000));
        assertTrue(goAway.rejectsNewStreams());
        assertEquals(GracefulGoAway.Step.NONE, goAway.onPingAcknowledged(21_000));
        assertEquals(GracefulGoAway.Step.NONE, goAway.check(30_000, 1, false), "a stream is open");
        assertEquals(GracefulGoAway.Step.NONE, goAway.check(40_000, 0, true), "a response has not been sent");
        assertEquals(GracefulGoAway.Step.CLOSE, goAway.check(50_000, 0, false));
        assertEquals(GracefulGoAway.Step.NONE, goAway.check(60_000, 0, false), "the connection is already closed");
    }

    @ParameterizedTest
    @CsvSource({"1, 300000, 2000000", "1, 100000, 100000"})
    void unresponsiveConnectionIsClosedInTimeAfterTheLastStreamId(
            int openStreams, long lastStreamIdAtMicros, long deadlineMicros) {
        GracefulGoAway goAway = new GracefulGoAway();
        goAway.begin(0, deadlineMicros);
        List<String> steps = new ArrayList<>();
        for (long nowMicros = 0; nowMicros < 4 * SECOND_MICROS; nowMicros += 10_000) {
            GracefulGoAway.Step step = goAway.check(nowMicros, openStreams, true);
            if (step != GracefulGoAway.Step.NONE) {
                steps.add(step + " " + nowMicros);
            }
        }
        assertEquals(
                List.of(
                        "SEND_LAST_STREAM_ID " + lastStreamIdAtMicros,
                        "CLOSE " + Math.max(deadlineMicros, lastStreamIdAtMicros + 10_000)),
                steps);
    }

    @Test
    void earlierDeadlineApplies() {
        GracefulGoAway goAway = new GracefulGoAway();
        goAway.begin(0, 5 * SECOND_MICROS);
        goAway.begin(1, SECOND_MICROS);
        goAway.begin(2, 9 * SECOND_MICROS);
        goAway.onPingAcknowledged(3);
        assertEquals(GracefulGoAway.Step.NONE, goAway.check(SECOND_MICROS - 1, 1, false));
        assertEquals(GracefulGoAway.Step.CLOSE, goAway.check(SECOND_MICROS, 1, false));
    }
}
