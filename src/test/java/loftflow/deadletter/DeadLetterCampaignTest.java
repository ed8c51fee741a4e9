package loftflow.deadletter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** A share of the campaign with fixed seeds; the whole is a command of its own. */
class DeadLetterCampaignTest {
    @Test
    void nothingIsPostedTwiceNorLostWhateverFails() throws IOException {
        DeadLetterCampaign.Count count = DeadLetterCampaign.runs(25, 1, false);
        assertEquals(0, count.doubles(), count.toString());
        assertEquals(0, count.lost(), count.toString());
        assertEquals(0, count.torn(), count.toString());
        assertTrue(
                count.kills() > 50
                        && count.resends() > 100
                        && count.words() > 20
                        && count.kept() > 20
                        && count.delivered() > 100,
                count.toString());
    }

    /** Proves that the count can count one. */
    @Test
    void withoutTheRuleThatAnUnknownOutcomeIsNoProofDoublesAreFound() throws IOException {
        assertTrue(DeadLetterCampaign.runs(6, 1, true).doubles() > 0);
    }
}
