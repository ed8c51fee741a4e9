package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that a stream limit applies from its acknowledgement by the client. */
class AcknowledgedStreamLimitTest {
    @Test
    void limitAppliesOnceItIsAcknowledged() {
        AcknowledgedStreamLimit limit = new AcknowledgedStreamLimit(10);
        assertTrue(
                limit.allowsNewStream(1_000), "RFC 9113, 6.5.2: no limit before the first SETTINGS are acknowledged");
        limit.onSettingsSent(4);
        limit.onSettingsSent(8);
        assertEquals(8, limit.lastSent());
        for (int expected : new int[] {10, 4, 8, 8}) {
            limit.onSettingsAcknowledged();
            assertTrue(
                    limit.allowsNewStream(expected - 1) && !limit.allowsNewStream(expected),
                    "limit after the acknowledgement: " + expected);
        }
    }
}
