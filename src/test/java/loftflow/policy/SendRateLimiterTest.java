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

/** Tests of {@link SendRateLimiter}, played through the policy as a whole. */
class SendRateLimiterTest extends PolicyTestBase {

    /** The time between the departures of two messages that are accepted at once. */
    private long departureSpacing(int id) {
        relay.sent.clear();
        relay.accept(id, "safe", 2).accept(id + 1, "safe", 2).advance(10 * SECOND);
        relay.answer(id, AttemptOutcome.OK).answer(id + 1, AttemptOutcome.OK);
        return relay.sent.get(1).atMicros() - relay.sent.get(0).atMicros();
    }

    /** Rejected once with no limit known, then served for five seconds while a thousand messages wait. */
    private static PolicyHarness fiveSecondsAfterTheFirstCut() {
        PolicyHarness wide =
                new PolicyHarness(PolicyHarness.settings(100, 2_000)).applyList(route("c", 2, "apart", "east"));
        wide.accept(0, "safe", 2).advance(10 * MILLISECOND).answer(0, AttemptOutcome.REJECTED);
        for (int id = 1; id < 1_000; id++) {
            wide.accept(id, "safe", 2);
        }
        serveFor(wide, 5 * SECOND);
        return wide;
    }

    /** Advances the clock and serves each call after ten milliseconds. */
    private static void serveFor(PolicyHarness relay, long span) {
        for (long end = relay.now + span; relay.now < end; ) {
            relay.advance(10 * MILLISECOND);
            List.copyOf(relay.unanswered).forEach(s -> relay.answer(s.id(), AttemptOutcome.OK));
        }
    }

    @Test
    void rejectedMessagesOfAFleetAreRetriedWithJitter() {
        int soon = 0;
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness one =
                    new PolicyHarness(PolicyHarness.fleet(100, seed)).applyList(route("c", 2, "apart", "east"));
            one.accept(1, "safe", 2)
                    .advance(MILLISECOND)
                    .answer(1, AttemptOutcome.REJECTED)
                    .advance(4 * SECOND);
            soon += one.sent.size() - 1;
        }
        assertTrue(soon > 20 && soon < 80, "back within four seconds: " + soon);
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
        long cut = departureSpacing(5);
        for (int id = 10; id < 40; id++) {
            relay.accept(id, "safe", 2).advance(3 * SECOND).answer(id, AttemptOutcome.OK);
        }
        long regrown = departureSpacing(50);
        assertTrue(cut > 100 * MILLISECOND && regrown < cut / 2, "cut " + cut + ", regrown " + regrown);
    }

    /** Calls sent together are rejected together, or one by one over a second: either way they show one rate. */
    @Test
    void rejectionsOfOneBurstCutTheRateOnce() {
        PolicyHarness wide =
                new PolicyHarness(PolicyHarness.settings(100, 2_000)).applyList(route("c", 2, "apart", "east"));
        for (int id = 1_000; id < 1_400; id++) {
            wide.accept(id, "safe", 2).advance(10 * MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        for (int id = 100; id < 130; id++) {
            wide.accept(id, "safe", 2);
        }
        assertEquals(30, wide.unanswered.size(), "all at once");
        for (int id = 200; id < 230; id++) {
            wide.accept(id, "once", 2);
        }
        wide.advance(100 * MILLISECOND).answer(100, AttemptOutcome.REJECTED);
        for (int id = 102; id < 130; id++) {
            wide.answer(id, AttemptOutcome.NOT_SENT);
        }
        wide.advance(550 * MILLISECOND).answer(101, AttemptOutcome.REJECTED);
        int before = wide.sent.size();
        for (int i = 0; i < 40; i++) {
            wide.advance(100 * MILLISECOND);
            // Neither served nor rejected: the rate stays as it is.
            List.copyOf(wide.unanswered).forEach(s -> wide.answer(s.id(), AttemptOutcome.NOT_SENT));
        }
        assertEquals(64, wide.sent.size() - before, 10, "four seconds at half of 33 a second");
    }

    /** Without a known limit the first cut is a guess, which served calls soon correct. */
    @Test
    void rateAfterTheFirstCutDoublesUntilTheNext() {
        PolicyHarness wide = fiveSecondsAfterTheFirstCut();
        assertTrue(wide.sent.size() > 300, "sent in five seconds: " + wide.sent.size());
        wide.advance(20 * MILLISECOND)
                .answer(wide.unanswered.get(0).id(), AttemptOutcome.REJECTED)
                .advance(SECOND);
        int before = wide.sent.size();
        serveFor(wide, SECOND);
        int cut = wide.sent.size() - before;
        before = wide.sent.size();
        serveFor(wide, SECOND);
        assertTrue(
                wide.sent.size() - before < 1.3 * cut,
                "a second refusal tells where the bound is: " + cut + ", then " + (wide.sent.size() - before));
    }

    @Test
    void highRateSendsAsManyInARoundAsItsTimeHolds() {
        PolicyHarness wide = fiveSecondsAfterTheFirstCut();
        long most = 0;
        for (int i = 0; i < 100; i++) {
            int before = wide.sent.size();
            wide.now += 10 * MILLISECOND;
            wide.round(new TimerFired(0));
            most = Math.max(most, wide.sent.size() - before);
        }
        assertTrue(most > 1, "in a round: " + most);
    }

    @Test
    void reportedLimitOfZeroIsNoLimit() {
        relay.accept(1, "safe", 2).advance(MILLISECOND);
        relay.round(
                new AttemptCompleted(1, 0, "c", AttemptOutcome.REJECTED, false, 0, MILLISECOND, new LimitReport(0, 0)));
        relay.advance(3 * SECOND);
        assertEquals(2, relay.sends(1));
    }
}
