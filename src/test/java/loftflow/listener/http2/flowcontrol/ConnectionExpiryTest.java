package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the time limits of a connection. */
class ConnectionExpiryTest {
    private static final long SECOND_MICROS = 1_000_000;

    @Test
    void eachTimeLimitEndsTheConnection() {
        ConnectionExpiry.TimeLimits limits = new ConnectionExpiry.TimeLimits(
                2 * SECOND_MICROS, 60 * SECOND_MICROS, 600 * SECOND_MICROS, 10 * SECOND_MICROS);
        ConnectionExpiry inHandshake = new ConnectionExpiry(limits, 0, 0);
        assertEquals(ConnectionExpiry.Verdict.KEEP, inHandshake.check(2 * SECOND_MICROS - 1, false));
        assertEquals(ConnectionExpiry.Verdict.TERMINATE, inHandshake.check(2 * SECOND_MICROS, false));

        ConnectionExpiry idle = new ConnectionExpiry(limits, 0, 0);
        idle.onSettingsAcknowledged(SECOND_MICROS);
        assertEquals(ConnectionExpiry.Verdict.KEEP, idle.check(61 * SECOND_MICROS - 1, false));
        assertEquals(ConnectionExpiry.Verdict.DRAIN, idle.check(61 * SECOND_MICROS, false));
        idle.onStreamsChanged(true, 61 * SECOND_MICROS);
        assertEquals(ConnectionExpiry.Verdict.KEEP, idle.check(500 * SECOND_MICROS, false));
        idle.onStreamsChanged(false, 500 * SECOND_MICROS);
        assertEquals(ConnectionExpiry.Verdict.KEEP, idle.check(559 * SECOND_MICROS, false));

        ConnectionExpiry old = new ConnectionExpiry(limits, 0, 0.5);
        old.onSettingsAcknowledged(0);
        old.onStreamsChanged(true, 0);
        assertEquals(ConnectionExpiry.Verdict.KEEP, old.check(570 * SECOND_MICROS - 1, false));
        assertEquals(
                ConnectionExpiry.Verdict.DRAIN,
                old.check(570 * SECOND_MICROS, false),
                "the jitter of 0.5 shortens the maximum age by a twentieth");

        ConnectionExpiry stalled = new ConnectionExpiry(limits, 0, 0);
        stalled.onSettingsAcknowledged(0);
        stalled.onStreamsChanged(true, 0);
        assertEquals(ConnectionExpiry.Verdict.KEEP, stalled.check(SECOND_MICROS, true));
        assertEquals(
                ConnectionExpiry.Verdict.KEEP,
                stalled.check(9 * SECOND_MICROS, false),
                "the client has read in between");
        assertEquals(ConnectionExpiry.Verdict.KEEP, stalled.check(10 * SECOND_MICROS, true));
        assertEquals(ConnectionExpiry.Verdict.KEEP, stalled.check(20 * SECOND_MICROS - 1, true));
        assertEquals(ConnectionExpiry.Verdict.TERMINATE, stalled.check(20 * SECOND_MICROS, true));

        ConnectionExpiry withoutMaxAge = new ConnectionExpiry(
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, SECOND_MICROS, 0, SECOND_MICROS), 0, 1);
        withoutMaxAge.onSettingsAcknowledged(0);
        withoutMaxAge.onStreamsChanged(true, 0);
        assertEquals(ConnectionExpiry.Verdict.KEEP, withoutMaxAge.check(Long.MAX_VALUE / 2, false));
    }
}
