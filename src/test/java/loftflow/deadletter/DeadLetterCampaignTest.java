package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** A part of the campaign with fixed seeds; all of it is a command of its own. */
class DeadLetterCampaignTest {
    @Test
    void nothingIsExecutedTwiceOrLostWhateverFails() throws IOException {
        CampaignResult result = DeadLetterCampaign.runs(25, 1, false);
        assertEquals(0, result.duplicates(), result.toString());
        assertEquals(0, result.lost(), result.toString());
        assertEquals(0, result.inconsistent(), result.toString());
        assertTrue(
                result.crashes() > 50
                        && result.redrives() > 100
                        && result.confirmations() > 20
                        && result.undelivered() > 20
                        && result.delivered() > 100,
                result.toString());
    }

    /** Shows that the campaign can find duplicates. */
    @Test
    void duplicatesAreFoundWhereUnknownOutcomesAreIgnored() throws IOException {
        assertTrue(DeadLetterCampaign.runs(6, 1, true).duplicates() > 0);
    }
}
