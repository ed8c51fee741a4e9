package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests {@link CircuitBreaker} through rounds of the complete policy. */
class CircuitBreakerTest extends PolicyTestBase {

    @Test
    void threeFailuresOpenAndAServedProbeClosesTheCircuit() {
        openCircuitOfRouteC();
        relay.accept(10, "safe", 2).accept(11, "safe", 2).advance(500 * MILLISECOND);
        assertEquals(0, relay.sendCount(10) + relay.sendCount(11));
        relay.advance(6 * SECOND);
        assertEquals(1, relay.sendCount(10) + relay.sendCount(11), "only one probe is sent");
        relay.answer(relay.unanswered.get(0).id(), AttemptOutcome.OK).advance(5 * SECOND);
        assertEquals(2, relay.sendCount(10) + relay.sendCount(11));
    }

    @Test
    void occasionalResetsLeaveTheCircuitClosed() {
        callRouteCOften();
        for (int id = 1; id <= 3; id++) {
            relay.accept(id, "once", 2).advance(MILLISECOND).answer(id, AttemptOutcome.RESET);
        }
        assertTrue(relay.logged.isEmpty());
    }

    @Test
    void oneFailureOpensTheCircuitOfARarelyCalledRoute() {
        relay.accept(1, "safe", 2)
                .advance(MILLISECOND)
                .answer(1, AttemptOutcome.CONNECT_FAILED)
                .accept(2, "safe", 2)
                .advance(SECOND);
        assertEquals(List.of("circuit: opened route=c cause=failures"), relay.logged);
        assertEquals(1, relay.sent.size());
    }

    @Test
    void oneErrorAmongManyServedCallsLeavesTheCircuitClosed() {
        callRouteCOften();
        relay.accept(1, "safe", 2)
                .advance(MILLISECOND)
                .answer(1, AttemptOutcome.ERROR)
                .advance(MILLISECOND);
        assertTrue(relay.logged.isEmpty());
        assertEquals(2, relay.sendCount(1));
    }

    @Test
    void failedProbeReopensTheCircuit() {
        openCircuitOfRouteC();
        relay.accept(10, "safe", 2)
                .advance(6 * SECOND)
                .answer(10, AttemptOutcome.CONNECT_FAILED)
                .advance(SECOND);
        assertEquals(1, relay.sendCount(10));
    }

    @Test
    void answerToACallSentBeforeTheFailuresDoesNotCloseTheCircuit() {
        PolicyHarness largeRelay = relayWithUnresponsiveRouteC();
        largeRelay
                .answer(1, AttemptOutcome.TIMEOUT)
                .answer(2, AttemptOutcome.TIMEOUT)
                .answer(3, AttemptOutcome.TIMEOUT)
                .answer(0, AttemptOutcome.OK);
        assertEquals(List.of("circuit: opened route=c cause=unresponsive"), largeRelay.logged);
    }

    @Test
    void rejectionsWithoutAServedCallOpenTheCircuit() {
        relay.accept(1, "safe", 2);
        for (int i = 0; i < 3; i++) {
            relay.answer(1, AttemptOutcome.REJECTED).advance(1500 * MILLISECOND);
        }
        assertEquals(List.of("circuit: opened route=c cause=rejections"), relay.logged);
    }

    @Test
    void rejectionCutsTheRateAndLeavesTheCircuitClosed() {
        relay.accept(1, "safe", 2).advance(MILLISECOND).answer(1, AttemptOutcome.REJECTED);
        relay.accept(2, "safe", 2).advance(300 * MILLISECOND);
        assertEquals(1, relay.sent.size());
        relay.advance(SECOND);
        assertTrue(relay.sent.size() >= 2);
        assertTrue(relay.logged.isEmpty());
    }

    @Test
    void highErrorRateOpensTheCircuitWithoutConsecutiveFailures() {
        callRouteCOften();
        for (int id = 1; id < 30 && relay.logged.isEmpty(); id++) {
            relay.accept(id, "safe", 2).advance(MILLISECOND);
            relay.answer(id, id % 3 == 0 ? AttemptOutcome.OK : AttemptOutcome.ERROR);
        }
        assertEquals(List.of("circuit: opened route=c cause=failures"), relay.logged);
    }
}
