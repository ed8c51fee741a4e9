package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Runs a part of {@link DeadLetterCampaign} with fixed seeds. The whole campaign runs from the command line. */
class DeadLetterCampaignTest {
    @Test
    void noMessageIsDuplicatedOrLostUnderRandomFaults() throws IOException {
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

    /** Guards against a campaign that can't detect duplicates. */
    @Test
    void duplicatesAreDetectedIfUnknownOutcomesAreIgnored() throws IOException {
        assertTrue(DeadLetterCampaign.runs(6, 1, true).duplicates() > 0);
    }
}
