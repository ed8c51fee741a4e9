package loftflow.interop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A seeded share of {@link AmqpCampaign}, and the proof that it can find what it looks for. */
class AmqpCampaignTest {
    @Test
    void noSettlementTwiceAndOneEndForEachMessage() throws Exception {
        AmqpCampaign.Tally tally = AmqpCampaign.run(120, 1, false, 8);
        assertEquals("[]", tally.faults().toString());
        assertEquals(0, tally.twice() + tally.endless() + tally.contradicted() + tally.waitsBroken());
        assertTrue(tally.kills() > 20 && tally.effects() > 500, tally.toString());
    }

    @Test
    void withoutTheMemoryOfDuplicatesSettlementsAreFoundTwice() throws Exception {
        AmqpCampaign.Tally tally = AmqpCampaign.run(120, 1, true, 8);
        assertTrue(tally.twice() > 0, tally.toString());
    }
}
