package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** A part of the campaign with fixed seeds; all of it is a command of its own. */
class DeadLetterCampaignTest {
    @Test
    void nothingIsExecutedTwiceOrLostWhateverFails() throws IOException {
        DeadLetterCampaign.Count count = DeadLetterCampaign.runs(25, 1, false);
        assertEquals(0, count.duplicates(), count.toString());
        assertEquals(0, count.lost(), count.toString());
        assertEquals(0, count.inconsistent(), count.toString());
        assertTrue(
                count.crashes() > 50
                        && count.redrives() > 100
                        && count.confirmations() > 20
                        && count.undelivered() > 20
                        && count.delivered() > 100,
                count.toString());
    }

    /** Shows that the campaign can find duplicates. */
    @Test
    void duplicatesAreFoundWhereUnknownOutcomesAreIgnored() throws IOException {
        assertTrue(DeadLetterCampaign.runs(6, 1, true).duplicates() > 0);
    }
}
