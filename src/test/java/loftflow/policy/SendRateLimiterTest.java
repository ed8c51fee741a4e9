package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.TimerFired;
import org.junit.jupiter.api.Test;

/** Tests {@link SendRateLimiter} through rounds of the complete policy. */
class SendRateLimiterTest extends PolicyTestBase {

    /** Returns the time between the departures of two messages accepted at the same time. */
    private long departureSpacing(int id) {
        relay.sent.clear();
        relay.accept(id, "safe", 2).accept(id + 1, "safe", 2).advance(10 * SECOND);
        relay.answer(id, AttemptOutcome.OK).answer(id + 1, AttemptOutcome.OK);
        return relay.sent.get(1).atMicros() - relay.sent.get(0).atMicros();
    }

    /**
     * Returns a relay that was rejected once without a known limit, then served for five seconds while messages waited.
     */
    private static PolicyHarness fiveSecondsAfterTheFirstCut() {
        PolicyHarness largeRelay =
                new PolicyHarness(PolicyHarness.settings(100, 2_000)).applyList(route("c", 2, "apart", "east"));
        largeRelay.accept(0, "safe", 2).advance(10 * MILLISECOND).answer(0, AttemptOutcome.REJECTED);
        for (int id = 1; id < 1_000; id++) {
            largeRelay.accept(id, "safe", 2);
        }
        serveFor(largeRelay, 5 * SECOND);
        return largeRelay;
    }

    /** Advances the clock and serves each call at the next step of ten milliseconds. */
    private static void serveFor(PolicyHarness relay, long duration) {
        for (long end = relay.now + duration; relay.now < end; ) {
            relay.advance(10 * MILLISECOND);
            List.copyOf(relay.unanswered).forEach(s -> relay.answer(s.id(), AttemptOutcome.OK));
        }
    }

    @Test
    void rejectedMessagesOfAFleetAreRetriedWithJitter() {
        int retried = 0;
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness fleetRelay =
                    new PolicyHarness(PolicyHarness.fleet(100, seed)).applyList(route("c", 2, "apart", "east"));
            fleetRelay
                    .accept(1, "safe", 2)
                    .advance(MILLISECOND)
                    .answer(1, AttemptOutcome.REJECTED)
                    .advance(4 * SECOND);
            retried += fleetRelay.sent.size() - 1;
        }
        assertTrue(retried > 20 && retried < 80, "retried within four seconds: " + retried);
    }

    @Test
    void rateIsCutByRejectionsAndGrowsWhileServed() {
        for (int i = 0; i < 4; i++) {
            relay.accept(i, "safe", 2)
                    .advance(MILLISECOND)
                    .answer(i, AttemptOutcome.REJECTED)
                    .advance(8 * SECOND)
                    .answer(i, AttemptOutcome.OK);
        }
        long spacingAfterCuts = departureSpacing(5);
        for (int id = 10; id < 40; id++) {
            relay.accept(id, "safe", 2).advance(3 * SECOND).answer(id, AttemptOutcome.OK);
        }
        long regrownSpacing = departureSpacing(50);
        assertTrue(
                spacingAfterCuts > 100 * MILLISECOND && regrownSpacing < spacingAfterCuts / 2,
                "spacing after cuts " + spacingAfterCuts + ", regrown " + regrownSpacing);
    }

    /**
     * Calls of one burst may be rejected together or one by one over a second; in both cases they are evidence of a
     * single rate.
     */
    @Test
    void rejectionsOfOneBurstCutTheRateOnce() {
        PolicyHarness largeRelay =
                new PolicyHarness(PolicyHarness.settings(100, 2_000)).applyList(route("c", 2, "apart", "east"));
        for (int id = 1_000; id < 1_400; id++) {
            largeRelay.accept(id, "safe", 2).advance(10 * MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        for (int id = 100; id < 130; id++) {
            largeRelay.accept(id, "safe", 2);
        }
        assertEquals(30, largeRelay.unanswered.size(), "all are sent immediately");
        for (int id = 200; id < 230; id++) {
            largeRelay.accept(id, "once", 2);
        }
        largeRelay.advance(100 * MILLISECOND).answer(100, AttemptOutcome.REJECTED);
        for (int id = 102; id < 130; id++) {
            largeRelay.answer(id, AttemptOutcome.NOT_SENT);
        }
        largeRelay.advance(550 * MILLISECOND).answer(101, AttemptOutcome.REJECTED);
        int before = largeRelay.sent.size();
        for (int i = 0; i < 40; i++) {
            largeRelay.advance(100 * MILLISECOND);
            // Calls that are neither served nor rejected leave the rate unchanged.
            List.copyOf(largeRelay.unanswered).forEach(s -> largeRelay.answer(s.id(), AttemptOutcome.NOT_SENT));
        }
        assertEquals(64, largeRelay.sent.size() - before, 10, "four seconds at half of 33 per second");
    }

    /** Without a known limit the first cut is an estimate, which served calls correct quickly. */
    @Test
    void rateAfterTheFirstCutDoublesUntilTheNextRejection() {
        PolicyHarness largeRelay = fiveSecondsAfterTheFirstCut();
        assertTrue(largeRelay.sent.size() > 300, "sent in five seconds: " + largeRelay.sent.size());
        largeRelay
                .advance(20 * MILLISECOND)
                .answer(largeRelay.unanswered.get(0).id(), AttemptOutcome.REJECTED)
                .advance(SECOND);
        int before = largeRelay.sent.size();
        serveFor(largeRelay, SECOND);
        int sentAfterCut = largeRelay.sent.size() - before;
        before = largeRelay.sent.size();
        serveFor(largeRelay, SECOND);
        assertTrue(
                largeRelay.sent.size() - before < 1.3 * sentAfterCut,
                "no doubling after a second rejection: " + sentAfterCut + ", then "
                        + (largeRelay.sent.size() - before));
    }

    @Test
    void highRateSendsSeveralMessagesInOneRound() {
        PolicyHarness largeRelay = fiveSecondsAfterTheFirstCut();
        long maxSentInARound = 0;
        for (int i = 0; i < 100; i++) {
            int before = largeRelay.sent.size();
            largeRelay.now += 10 * MILLISECOND;
            largeRelay.round(new TimerFired(0));
            maxSentInARound = Math.max(maxSentInARound, largeRelay.sent.size() - before);
        }
        assertTrue(maxSentInARound > 1, "sent in one round: " + maxSentInARound);
    }

    @Test
    void reportedLimitOfZeroCountsAsUnknown() {
        relay.accept(1, "safe", 2).advance(MILLISECOND);
        relay.round(
                new AttemptCompleted(1, 0, "c", AttemptOutcome.REJECTED, false, 0, MILLISECOND, new LimitReport(0, 0)));
        relay.advance(3 * SECOND);
        assertEquals(2, relay.sendCount(1));
    }
}
