package loftflow.interop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loftflow.interop.Http2Campaign.Mutant;
import org.junit.jupiter.api.Test;

/** A seeded share of {@link Http2Campaign}, and the proof that it can find what it looks for. */
class Http2CampaignTest {
    @Test
    void everyMessageOneEndNoSettlementTwiceNoStreamAnsweredTwiceAndDrainsLetStreamsFinish() throws Exception {
        Http2Campaign.Tally tally = Http2Campaign.run(100, 1, Mutant.NONE, 8);
        assertEquals("[]", tally.faults().toString());
        assertEquals(0, tally.broken());
        assertTrue(
                tally.kills() > 50
                        && tally.resets() > 200
                        && tally.drains() > 50
                        && tally.recorded() > 800
                        && tally.losses() > 20
                        && tally.stalls() > 20,
                tally.toString());
    }

    @Test
    void resetThatIsTakenForAWithdrawalAfterTheRecordIsFound() throws Exception {
        Http2Campaign.Tally tally = Http2Campaign.run(60, 1, Mutant.WITHDRAWS, 8);
        assertTrue(tally.endless() > 0, tally.toString());
    }

    @Test
    void drainThatCutsStreamsOffIsFound() throws Exception {
        Http2Campaign.Tally tally = Http2Campaign.run(30, 1, Mutant.HASTY, 8);
        assertTrue(tally.cutOff() > 0, tally.toString());
    }

    @Test
    void settlementsThatAreSentAgainAfterAKillAreFound() throws Exception {
        Http2Campaign.Tally tally = Http2Campaign.run(60, 1, Mutant.FORGETS, 8);
        assertTrue(tally.twice() > 0, tally.toString());
    }
}
