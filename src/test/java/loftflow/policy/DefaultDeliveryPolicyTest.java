package loftflow.policy;

import static loftflow.policy.PolicyHarness.MS;
import static loftflow.policy.PolicyHarness.S;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.CompletionAcknowledged;
import loftflow.policy.api.CompletionPending;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListPending;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.MessageWithdrawn;
import loftflow.policy.api.PastAttempt;
import loftflow.policy.api.PeerMessage;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RetryAfterReceived;
import loftflow.policy.api.TimerFired;
import org.junit.jupiter.api.Test;

class DefaultDeliveryPolicyTest {
    private final PolicyHarness relay = new PolicyHarness(PolicyHarness.settings())
            .list(
                    route("a", 1, "plain", "east"),
                    route("b", 1, "plain", "west"),
                    route("c", 2, "apart", "east"),
                    route("d", 3, "bulk", "east"));

    @Test
    void sendsAtOnceWhenAllIsWell() {
        relay.accept(1, "safe", 1);
        assertEquals(1, relay.sends(1));
    }

    @Test
    void firstSendsSpreadOverRoutesNearTheTop() {
        for (int id = 0; id < 200; id++) {
            relay.accept(id, "safe", 1).pass(100 * MS).answer(id, AttemptOutcome.OK);
        }
        long onA = relay.sent.stream().filter(s -> s.route().equals("a")).count();
        assertTrue(onA > 60 && onA < 160, "on one route: " + onA);
    }

    @Test
    void failedRequestFallsThroughToTheOtherRoute() {
        relay.accept(1, "safe", 1)
                .pass(MS)
                .answer(1, AttemptOutcome.CONNECT_FAILED)
                .pass(MS);
        assertEquals(2, relay.sent.size());
        assertFalse(relay.sent.get(0).route().equals(relay.sent.get(1).route()));
    }

    @Test
    void requestWithoutARouteIsHeldForAListChangeAndEndsInTime() {
        relay.accept(1, "safe", 9).accept(2, "safe", 8).pass(S);
        assertEquals(0, relay.sent.size());
        relay.changes(route("z", 9, "plain", "east"));
        assertEquals(1, relay.sends(1));
        relay.pass(20 * S);
        assertEquals(List.of(2L), relay.refused);
    }

    /** Nobody else can try it: for room, the newcomer is turned away, however much more it is worth. */
    @Test
    void whatARestartFoundUntriedIsNotGivenUpForRoom() {
        PolicyHarness full = new PolicyHarness(PolicyHarness.settings(1, 3)).list(route("a", 1, "plain", "east"));
        full.accept(1, "safe", 1)
                .round(resumed(2), resumed(3))
                .accept(4, "quick", 1)
                .accept(5, "quick", 1);
        assertEquals(List.of(4L, 5L), full.refused);
        full.answer(1, AttemptOutcome.OK).pass(MS).answer(2, AttemptOutcome.OK).pass(MS);
        assertEquals(1, full.sends(3));
    }

    /** Its worth has faded, and new ones come all the time: it is tried before its time is up all the same. */
    @Test
    void whatARestartFoundUntriedGoesAheadOfWhatIsNew() {
        PolicyHarness busy = new PolicyHarness(PolicyHarness.settings(1, 100)).list(route("a", 1, "plain", "east"));
        busy.accept(1, "quick", 1);
        busy.accept(2, "quick", 1)
                .round(resumed(3))
                .answer(1, AttemptOutcome.OK)
                .pass(MS);
        assertEquals(1, busy.sends(3));
        assertEquals(0, busy.sends(2));
        busy.answer(3, AttemptOutcome.ERROR).pass(5 * S);
        assertEquals(1, busy.sends(2), "tried once, it is one of many");
    }

    private MessageResumed resumed(long id) {
        return new MessageResumed(new MessageAccepted(id, "safe", null, null, relay.now + 3 * S, 1), List.of());
    }

    /**
     * Its end is told and not heard yet, or was so before a restart: the next one of its line waits, another line does
     * not.
     */
    @Test
    void endThatIsNotHeardHoldsUpItsLineAlone() {
        relay.unheard.add(1L);
        relay.accept(1, "ordered", 1, "k").accept(2, "ordered", 1, "k").accept(3, "ordered", 1, "other");
        assertEquals(
                List.of(1L, 3L), relay.sent.stream().map(PolicyHarness.Sent::id).toList());
        relay.pass(S)
                .answer(1, AttemptOutcome.REJECTED)
                .round(new MessageWithdrawn(1))
                .pass(S);
        assertEquals(0, relay.sends(2));
        relay.round(new CompletionAcknowledged(1)).pass(S);
        assertEquals(1, relay.sends(2));
        relay.round(new CompletionPending(new MessageAccepted(8, "ordered", null, "left", S, 3)));
        relay.accept(9, "ordered", 3, "left").pass(10 * S);
        assertEquals(0, relay.sends(9));
        relay.round(new CompletionAcknowledged(8)).pass(MS);
        assertEquals(1, relay.sends(9));
    }

    /** The call that was told so may be over, or go on. */
    @Test
    void waitThatIsToldOutsideAnyOutcomeIsHeeded() {
        relay.round(new RetryAfterReceived("a", 2 * S), new RetryAfterReceived("gone", S))
                .accept(1, "safe", 1)
                .pass(1900 * MS);
        assertEquals(0, relay.sends(1), "of the whole destination");
        relay.pass(200 * MS);
        assertEquals(1, relay.sends(1));
    }

    @Test
    void threeFailuresOpenAndOneTestCloses() {
        openC();
        relay.accept(10, "safe", 2).accept(11, "safe", 2).pass(500 * MS);
        assertEquals(0, relay.sends(10) + relay.sends(11));
        relay.pass(6 * S);
        assertEquals(1, relay.sends(10) + relay.sends(11), "one test only");
        relay.answer(relay.unanswered.get(0).id(), AttemptOutcome.OK).pass(5 * S);
        assertEquals(2, relay.sends(10) + relay.sends(11));
    }

    @Test
    void timeoutThatComesFromTheDeadlineIsNotTheRoutesFailure() {
        for (int id = 1; id <= 5; id++) {
            relay.round(accepted(id, 300 * MS)).pass(300 * MS).answer(id, AttemptOutcome.TIMEOUT);
        }
        assertEquals(5, relay.sent.size());
        assertTrue(relay.logged.isEmpty());
    }

    @Test
    void connectionsThatBreakNowAndThenOpenNothing() {
        callOften();
        for (int id = 1; id <= 3; id++) {
            relay.accept(id, "once", 2).pass(MS).answer(id, AttemptOutcome.RESET);
        }
        assertTrue(relay.logged.isEmpty());
    }

    @Test
    void testGoesByAMessageWithTimeLeft() {
        openC();
        relay.round(accepted(10, 2500 * MS)).accept(11, "safe", 2).pass(6 * S);
        assertEquals(0, relay.sends(10));
        assertEquals(1, relay.sends(11));
    }

    @Test
    void overdueCallGivesWayWhereSlotsAreWanted() {
        PolicyHarness narrow = new PolicyHarness(PolicyHarness.settings(1, 100))
                .list(route("c", 2, "apart", "east"), route("a", 1, "plain", "east"));
        narrow.accept(1, "once", 2).pass(10 * S);
        assertTrue(narrow.cancelled.isEmpty(), "nobody wants its slot");
        narrow.accept(2, "safe", 1);
        assertEquals(List.of(1L), narrow.cancelled);
    }

    @Test
    void newestGoesFirstWhereMessagesRunOutOfTime() {
        PolicyHarness narrow = new PolicyHarness(PolicyHarness.settings(1, 100)).list(route("a", 1, "plain", "east"));
        for (int id = 1; id <= 30; id++) {
            narrow.accept(id, "once", 1);
        }
        while (narrow.now < 18 * S) {
            narrow.pass(2 * S).answer(narrow.unanswered.get(0).id(), AttemptOutcome.OK);
        }
        narrow.accept(40, "once", 1).pass(3 * S).accept(41, "once", 1);
        assertTrue(narrow.refused.size() > 10, "so many ran out of time: " + narrow.refused.size());
        narrow.answer(narrow.unanswered.get(0).id(), AttemptOutcome.OK);
        assertEquals(1, narrow.sends(41));
        assertEquals(0, narrow.sends(40));
    }

    @Test
    void routesOfManyGenerationsAreForgotten() throws ReflectiveOperationException {
        for (int i = 0; i < 1000; i++) {
            String apart = "apart" + i;
            relay.list(route("plain" + i, 1, "plain", "east"), route(apart, 2, "apart", "east"));
            relay.accept(i, "safe", 2).pass(100 * MS);
            relay.changes(new EndpointEntry(apart, 2, "apart", "east", Availability.REMOVED, 0));
            while (!relay.unanswered.isEmpty()) {
                relay.answer(relay.unanswered.get(0).id(), i % 2 == 0 ? AttemptOutcome.OK : AttemptOutcome.ERROR);
            }
            relay.pass(100 * MS);
        }
        relay.list();
        for (String name : List.of("routes", "groups")) {
            int left = ((Map<?, ?>) field(field(relay.module(), "endpoints"), name)).size();
            assertTrue(left < 5, name + " left: " + left);
        }
    }

    private static Object field(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }

    @Test
    void routeThatIsGoneStillAnswers() {
        relay.accept(1, "safe", 2).pass(MS).list();
        relay.answer(1, AttemptOutcome.ERROR)
                .list(route("c", 2, "apart", "east"))
                .pass(4 * S);
        assertEquals(2, relay.sends(1));
    }

    private MessageAccepted accepted(long id, long left) {
        return new MessageAccepted(id, "safe", null, null, relay.now + left, 2);
    }

    @Test
    void oneFailureOpensWhereCallsAreRare() {
        relay.accept(1, "safe", 2)
                .pass(MS)
                .answer(1, AttemptOutcome.CONNECT_FAILED)
                .accept(2, "safe", 2)
                .pass(S);
        assertEquals(List.of("circuit: opened route=c cause=failures"), relay.logged);
        assertEquals(1, relay.sent.size());
    }

    @Test
    void oneErrorAmongManyServesOpensNothing() {
        callOften();
        relay.accept(1, "safe", 2).pass(MS).answer(1, AttemptOutcome.ERROR).pass(MS);
        assertTrue(relay.logged.isEmpty());
        assertEquals(2, relay.sends(1));
    }

    @Test
    void testsOfAFleetStayFarUnderWhatItsCallsWouldBe() {
        int tests = 0;
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness one = new PolicyHarness(PolicyHarness.fleet(100, seed)).list(route("c", 2, "apart", "east"));
            one.accept(1, "safe", 2)
                    .pass(MS)
                    .answer(1, AttemptOutcome.CONNECT_FAILED)
                    .pass(10 * S);
            tests += one.sent.size() - 1;
        }
        assertTrue(tests < 50, "tests of 100 relays in ten seconds: " + tests);
    }

    @Test
    void refusedMessagesOfAFleetComeBackSpread() {
        int soon = 0;
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness one = new PolicyHarness(PolicyHarness.fleet(100, seed)).list(route("c", 2, "apart", "east"));
            one.accept(1, "safe", 2).pass(MS).answer(1, AttemptOutcome.REJECTED).pass(4 * S);
            soon += one.sent.size() - 1;
        }
        assertTrue(soon > 20 && soon < 80, "back within four seconds: " + soon);
    }

    @Test
    void paceIsCutByRefusalsAndRegrowsWhileServed() {
        for (int i = 0; i < 4; i++) {
            relay.accept(i, "safe", 2)
                    .pass(MS)
                    .answer(i, AttemptOutcome.REJECTED)
                    .pass(8 * S)
                    .answer(i, AttemptOutcome.OK);
        }
        long cut = spacing(5);
        for (int id = 10; id < 40; id++) {
            relay.accept(id, "safe", 2).pass(3 * S).answer(id, AttemptOutcome.OK);
        }
        long regrown = spacing(50);
        assertTrue(cut > 100 * MS && regrown < cut / 2, "cut " + cut + ", regrown " + regrown);
    }

    /** How far two messages accepted at once leave from one another. */
    private long spacing(int id) {
        relay.sent.clear();
        relay.accept(id, "safe", 2).accept(id + 1, "safe", 2).pass(10 * S);
        relay.answer(id, AttemptOutcome.OK).answer(id + 1, AttemptOutcome.OK);
        return relay.sent.get(1).at() - relay.sent.get(0).at();
    }

    @Test
    void failedTestReopens() {
        openC();
        relay.accept(10, "safe", 2)
                .pass(6 * S)
                .answer(10, AttemptOutcome.CONNECT_FAILED)
                .pass(S);
        assertEquals(1, relay.sends(10));
    }

    @Test
    void releaseStaysWithinTheBudgetOfTheRule() {
        openC();
        for (int id = 10; id < 60; id++) {
            relay.accept(id, "safe", 2);
        }
        relay.pass(6 * S).answer(relay.unanswered.get(0).id(), AttemptOutcome.OK);
        int before = relay.sent.size();
        for (int i = 0; i < 20; i++) {
            relay.pass(100 * MS);
            List.copyOf(relay.unanswered).forEach(s -> relay.answer(s.id(), AttemptOutcome.OK));
        }
        assertTrue(relay.sent.size() - before <= 2, "sent on release: " + (relay.sent.size() - before));
    }

    /**
     * What is usual is not taken for less because the relay has run for a short time only: it would be released at a
     * crawl.
     */
    @Test
    void destinationOfAYoungRelayIsReleasedByWhatWasAskedOfItASecond() {
        int id = 100;
        for (int i = 0; i < 40; i++) {
            relay.accept(id, "safe", 2).answer(id, AttemptOutcome.OK).pass(100 * MS);
            id++;
        }
        openC();
        for (int i = 0; i < 60; i++) {
            relay.accept(id++, "safe", 2);
        }
        relay.pass(6 * S).answer(relay.unanswered.get(0).id(), AttemptOutcome.OK);
        int before = relay.sent.size();
        for (int i = 0; i < 30; i++) {
            relay.pass(100 * MS);
            List.copyOf(relay.unanswered).forEach(s -> relay.answer(s.id(), AttemptOutcome.OK));
        }
        int released = relay.sent.size() - before;
        assertTrue(released >= 10 && released <= 25, "ten a second were usual; released in three seconds: " + released);
    }

    @Test
    void testsPreferWhatLosesLeast() {
        openC();
        relay.accept(10, "once", 2).accept(11, "safe", 2).pass(6 * S);
        assertEquals(0, relay.sends(10));
        assertEquals(1, relay.sends(11));
        assertTrue(relay.probes.isEmpty());
    }

    @Test
    void onceAloneIsTestedByProbe() {
        openC();
        relay.accept(10, "once", 2).pass(6 * S);
        assertEquals(List.of("c"), relay.probes);
        assertEquals(0, relay.sends(10));
    }

    @Test
    void silenceOpensBeforeThreeTimeouts() {
        for (int id = 0; id < 4; id++) {
            relay.accept(id, "once", 2).pass(100 * MS);
        }
        relay.pass(3 * S).accept(9, "safe", 2).pass(900 * MS);
        assertEquals(0, relay.sends(9));
        assertEquals(List.of("circuit: opened route=c cause=unresponsive"), relay.logged);
    }

    /** A partner that falls silent goes on with what it had in its queue: those answers tell of the time before. */
    @Test
    void answersToEarlierCallsDoNotHideASilence() {
        for (int id = 100; id < 120; id++) {
            relay.accept(id, "safe", 2).pass(50 * MS).answer(id, AttemptOutcome.OK);
        }
        for (int id = 0; id < 4; id++) {
            relay.accept(id, "safe", 2).pass(100 * MS);
        }
        relay.pass(S)
                .answer(0, AttemptOutcome.OK)
                .pass(2 * S)
                .accept(9, "safe", 2)
                .pass(500 * MS);
        assertEquals(List.of("circuit: opened route=c cause=unresponsive"), relay.logged);
        assertEquals(0, relay.sends(9));
    }

    @Test
    void answerToACallFromBeforeTheFailuresProvesNothing() {
        PolicyHarness wide = silentC();
        wide.answer(1, AttemptOutcome.TIMEOUT)
                .answer(2, AttemptOutcome.TIMEOUT)
                .answer(3, AttemptOutcome.TIMEOUT)
                .answer(0, AttemptOutcome.OK);
        assertEquals(List.of("circuit: opened route=c cause=unresponsive"), wide.logged);
    }

    @Test
    void answersToAllThatWasMissedShowThatTheRouteWasSlowAlone() {
        PolicyHarness wide = silentC();
        wide.answer(0, AttemptOutcome.OK)
                .answer(1, AttemptOutcome.OK)
                .answer(2, AttemptOutcome.OK)
                .answer(3, AttemptOutcome.OK)
                .pass(100 * MS);
        assertEquals(List.of("circuit: opened route=c cause=unresponsive", "circuit: closed route=c"), wide.logged);
        assertEquals(11, wide.unanswered.size(), "all that was held");
    }

    @Test
    void routeThatWasSilentAndLostCallsIsReleasedAsAColdOne() {
        PolicyHarness wide = silentC();
        wide.answer(0, AttemptOutcome.TIMEOUT).answer(1, AttemptOutcome.TIMEOUT).answer(2, AttemptOutcome.TIMEOUT);
        int before = wide.sent.size();
        wide.answer(3, AttemptOutcome.OK).pass(100 * MS);
        assertEquals(List.of("circuit: opened route=c cause=unresponsive", "circuit: closed route=c"), wide.logged);
        assertTrue(wide.sent.size() - before <= 1, "sent at once: " + (wide.sent.size() - before));
    }

    /** Four calls that are out for so long that their route counts as silent, and eleven messages that wait. */
    private static PolicyHarness silentC() {
        PolicyHarness wide = new PolicyHarness(PolicyHarness.settings(100, 200)).list(route("c", 2, "apart", "east"));
        for (int id = 0; id < 4; id++) {
            wide.accept(id, "once", 2).pass(100 * MS);
        }
        wide.pass(3 * S);
        for (int id = 10; id < 21; id++) {
            wide.accept(id, "safe", 2);
        }
        return wide;
    }

    @Test
    void refusalsWithoutAServeOpenAsShut() {
        relay.accept(1, "safe", 2);
        for (int i = 0; i < 3; i++) {
            relay.answer(1, AttemptOutcome.REJECTED).pass(1500 * MS);
        }
        assertEquals(List.of("circuit: opened route=c cause=failures"), relay.logged);
    }

    @Test
    void refusalCutsThePaceNotTheCircuit() {
        relay.accept(1, "safe", 2).pass(MS).answer(1, AttemptOutcome.REJECTED);
        relay.accept(2, "safe", 2).pass(300 * MS);
        assertEquals(1, relay.sent.size());
        relay.pass(S);
        assertTrue(relay.sent.size() >= 2);
        assertTrue(relay.logged.isEmpty());
    }

    /** What was sent at once is refused at once, or one by one over a second: either way it tells of one pace. */
    @Test
    void refusalsOfOneBurstCutThePaceOnce() {
        PolicyHarness wide = new PolicyHarness(PolicyHarness.settings(100, 2_000)).list(route("c", 2, "apart", "east"));
        for (int id = 1_000; id < 1_400; id++) {
            wide.accept(id, "safe", 2).pass(10 * MS).answer(id, AttemptOutcome.OK);
        }
        for (int id = 100; id < 130; id++) {
            wide.accept(id, "safe", 2);
        }
        assertEquals(30, wide.unanswered.size(), "all at once");
        for (int id = 200; id < 230; id++) {
            wide.accept(id, "once", 2);
        }
        wide.pass(100 * MS).answer(100, AttemptOutcome.REJECTED);
        for (int id = 102; id < 130; id++) {
            wide.answer(id, AttemptOutcome.NOT_SENT);
        }
        wide.pass(550 * MS).answer(101, AttemptOutcome.REJECTED);
        int before = wide.sent.size();
        for (int i = 0; i < 40; i++) {
            wide.pass(100 * MS);
            // Neither a serve nor a refusal: the pace stays as it is.
            List.copyOf(wide.unanswered).forEach(s -> wide.answer(s.id(), AttemptOutcome.NOT_SENT));
        }
        assertEquals(64, wide.sent.size() - before, 10, "four seconds at half of 33 a second");
    }

    /** Without a limit to go by the first cut is a guess: what is served then soon shows better. */
    @Test
    void paceAfterTheFirstCutDoublesUntilTheNext() {
        PolicyHarness wide = fiveSecondsAfterTheFirstCut();
        assertTrue(wide.sent.size() > 300, "sent in five seconds: " + wide.sent.size());
        wide.pass(20 * MS)
                .answer(wide.unanswered.get(0).id(), AttemptOutcome.REJECTED)
                .pass(S);
        int before = wide.sent.size();
        serveFor(wide, S);
        int cut = wide.sent.size() - before;
        before = wide.sent.size();
        serveFor(wide, S);
        assertTrue(
                wide.sent.size() - before < 1.3 * cut,
                "a second refusal tells where the bound is: " + cut + ", then " + (wide.sent.size() - before));
    }

    @Test
    void quickPaceLetsAsManyGoInARoundAsItsTimeHolds() {
        PolicyHarness wide = fiveSecondsAfterTheFirstCut();
        long most = 0;
        for (int i = 0; i < 100; i++) {
            int before = wide.sent.size();
            wide.now += 10 * MS;
            wide.round(new TimerFired(0));
            most = Math.max(most, wide.sent.size() - before);
        }
        assertTrue(most > 1, "in a round: " + most);
    }

    /** Refused once with no limit known, then served for five seconds while a thousand messages wait. */
    private static PolicyHarness fiveSecondsAfterTheFirstCut() {
        PolicyHarness wide = new PolicyHarness(PolicyHarness.settings(100, 2_000)).list(route("c", 2, "apart", "east"));
        wide.accept(0, "safe", 2).pass(10 * MS).answer(0, AttemptOutcome.REJECTED);
        for (int id = 1; id < 1_000; id++) {
            wide.accept(id, "safe", 2);
        }
        serveFor(wide, 5 * S);
        return wide;
    }

    /** Lets time pass, and serves what was sent ten milliseconds later. */
    private static void serveFor(PolicyHarness relay, long span) {
        for (long end = relay.now + span; relay.now < end; ) {
            relay.pass(10 * MS);
            List.copyOf(relay.unanswered).forEach(s -> relay.answer(s.id(), AttemptOutcome.OK));
        }
    }

    @Test
    void nothingGoesByTheListOfARestartUntilNewsComeOrTheirTimeIsOver() {
        PolicyHarness young = new PolicyHarness(PolicyHarness.settings());
        young.round(
                new EndpointListReceived(EndpointListKind.CACHED, 0, List.of(route("c", 2, "apart", "east"))),
                new MessageResumed(new MessageAccepted(1, "safe", null, null, 20 * S, 2), List.of()),
                new MessageResumed(new MessageAccepted(2, "safe", null, null, 100 * MS, 2), List.of()),
                new EndpointListPending(400 * MS));
        young.pass(399 * MS);
        assertEquals(0, young.sent.size());
        assertEquals(List.of(2L), young.refused, "ends don't wait");
        young.pass(MS);
        assertEquals(1, young.sends(1));
        PolicyHarness told = new PolicyHarness(PolicyHarness.settings());
        told.round(
                new EndpointListReceived(EndpointListKind.CACHED, 0, List.of(route("c", 2, "apart", "east"))),
                new MessageResumed(new MessageAccepted(1, "safe", null, null, 20 * S, 2), List.of()),
                new EndpointListPending(400 * MS));
        told.changes(
                new EndpointEntry("c", 2, "apart", "east", Availability.DRAINING, 0), route("e", 2, "apart", "east"));
        assertEquals("e", told.sent.get(0).route());
    }

    @Test
    void toldWaitHoldsTheWholeSharedGroup() {
        relay.accept(1, "safe", 1)
                .pass(MS)
                .answer(1, AttemptOutcome.REJECTED, 2 * S)
                .accept(2, "safe", 1)
                .pass(1999 * MS);
        assertEquals(1, relay.sent.size());
    }

    @Test
    void waitToldToALaterRequestOfOneCallIsHeeded() {
        relay.accept(1, "safe", 3).pass(MS).answer(1, AttemptOutcome.REJECTED);
        relay.accept(2, "safe", 3).accept(3, "safe", 3).pass(1100 * MS);
        assertEquals(4, relay.sent.size(), "three in one call");
        relay.answer(1, AttemptOutcome.REJECTED)
                .answer(2, AttemptOutcome.REJECTED, 2 * S)
                .pass(1990 * MS);
        assertEquals(4, relay.sent.size());
    }

    @Test
    void onceThatMayHaveRunFails() {
        relay.accept(1, "once", 1).pass(MS).answer(1, AttemptOutcome.ERROR);
        assertEquals(List.of(1L), relay.failed);
        assertEquals(1, relay.sends(1));
    }

    @Test
    void keyedRepeatStaysInItsZoneAndWindow() {
        for (int id = 1_000; id < 1_016; id++) {
            relay.accept(id, "safe", 1).pass(MS).answer(id, AttemptOutcome.OK);
        }
        relay.sent.clear();
        relay.accept(1, "keyed", 1).pass(MS);
        String first = relay.sent.get(0).route();
        relay.answer(1, AttemptOutcome.RESET).pass(100 * MS);
        assertEquals(2, relay.sends(1));
        assertEquals(first, relay.sent.get(1).route());
        assertEquals(0, relay.sent.get(0).leaveWithin(), "the first may leave whenever");
        assertEquals(
                relay.sent.get(0).at() + 6 * S,
                relay.sent.get(1).at() + relay.sent.get(1).leaveWithin());
        relay.pass(7 * S).answer(1, AttemptOutcome.RESET).pass(S);
        assertEquals(2, relay.sends(1));
    }

    @Test
    void nothingGoesToDrainingRemovedOrMissingRoutes() {
        relay.changes(
                new EndpointEntry("a", 1, "plain", "east", Availability.DRAINING, 0),
                new EndpointEntry("b", 1, "plain", "west", Availability.REMOVED, 0));
        relay.list(route("a2", 5, "plain", "east"));
        relay.accept(1, "safe", 1).accept(2, "safe", 2).pass(S);
        assertEquals(0, relay.sent.size());
    }

    @Test
    void keysGoOneByOneAndRestAfterATimeout() {
        relay.accept(1, "ordered", 1, "k").accept(2, "ordered", 1, "k").pass(S);
        assertEquals(0, relay.sends(2));
        relay.answer(1, AttemptOutcome.TIMEOUT)
                .pass(10 * MS)
                .answer(1, AttemptOutcome.OK)
                .pass(2900 * MS);
        assertEquals(0, relay.sends(2), "the key rests");
        relay.pass(200 * MS);
        assertEquals(1, relay.sends(2));
    }

    @Test
    void fullBufferRefusesTheLeastWorthThatMayBeRefused() {
        PolicyHarness small = new PolicyHarness(PolicyHarness.settings(4, 3)).list(route("c", 2, "apart", "east"));
        small.accept(1, "safe", 7).accept(2, "safe", 7).accept(3, "safe", 7);
        assertEquals(1, small.refused.size());
    }

    @Test
    void noDestinationTakesEverySlot() {
        for (int id = 0; id < 10; id++) {
            relay.accept(id, "safe", 1);
        }
        relay.accept(50, "safe", 2);
        assertEquals(5, relay.sent.stream().filter(s -> s.id() < 10).count());
        assertEquals(1, relay.sends(50));
    }

    @Test
    void mostCallsFailingOpensThoughNoneInARowDo() {
        callOften();
        for (int id = 1; id < 30 && relay.logged.isEmpty(); id++) {
            relay.accept(id, "safe", 2).pass(MS);
            relay.answer(id, id % 3 == 0 ? AttemptOutcome.OK : AttemptOutcome.ERROR);
        }
        assertEquals(List.of("circuit: opened route=c cause=failures"), relay.logged);
    }

    @Test
    void nearRoutesAreTakenMoreOftenButNotAlone() {
        for (int id = 0; id < 400; id++) {
            relay.accept(id, "safe", 1).pass(10 * MS).answer(id, AttemptOutcome.OK);
        }
        long near = relay.sent.stream().filter(s -> s.route().equals("a")).count();
        assertTrue(near > 200 && near < 260, "near: " + near);
    }

    @Test
    void whatLosesMostByWaitingGoesFirst() {
        PolicyHarness one = new PolicyHarness(PolicyHarness.settings(1, 100)).list(route("a", 1, "plain", "east"));
        one.accept(1, "safe", 1)
                .accept(2, "safe", 1)
                .pass(S)
                .accept(3, "quick", 1)
                .answer(1, AttemptOutcome.OK);
        assertEquals(3, one.sent.get(1).id());
    }

    @Test
    void refusalIsToldToTheKeeperOfTheDestination() {
        PolicyHarness peer = peer();
        peer.accept(1, "safe", 1).pass(MS).answer(1, AttemptOutcome.REJECTED);
        assertEquals(List.of("1:" + note(PeerMessageType.REJECTED)), peer.told);
    }

    @Test
    void guardedDestinationIsCalledByTurns() {
        PolicyHarness peer = peer();
        peer.round(heard(PeerMessageType.CONGESTION_NOTICE))
                .accept(1, "safe", 1)
                .accept(2, "safe", 1)
                .pass(S);
        assertEquals(0, peer.sent.size());
        peer.round(heard(PeerMessageType.PERMIT));
        assertEquals(1, peer.sent.size());
        assertEquals(
                List.of("1:" + note(PeerMessageType.PERMIT_REQUEST), "1:" + note(PeerMessageType.PERMIT_REQUEST)),
                peer.told);
    }

    @Test
    void lostTurnCostsAFewSecondsOnly() {
        PolicyHarness peer = peer();
        peer.round(heard(PeerMessageType.CONGESTION_NOTICE))
                .accept(1, "safe", 1)
                .pass(9 * S);
        assertEquals(1, peer.sent.size());
    }

    @Test
    void keeperGivesTurnsOneAtATime() {
        PolicyHarness keeper = peer();
        for (int from = 1; from <= 60; from++) {
            keeper.round(new PeerMessage(from, bytes(PeerMessageType.REJECTED, 2)));
        }
        keeper.pass(5 * S);
        long turns = keeper.told.stream()
                .filter(t -> t.endsWith(HexFormat.of().formatHex(bytes(PeerMessageType.PERMIT, 2))))
                .count();
        assertTrue(turns >= 5 && turns <= 20, "turns in five seconds: " + turns);
    }

    @Test
    void garbageInNotesDoesNoHarm() {
        PolicyHarness peer = peer();
        peer.round(
                new PeerMessage(1, new byte[0]),
                new PeerMessage(1, new byte[] {9, 0, 0, 0, 1}),
                new PeerMessage(1, new byte[] {-1, 0, 0, 0, 1}),
                new PeerMessage(1, new byte[256]));
        peer.accept(1, "safe", 1);
        assertEquals(1, peer.sends(1));
    }

    @Test
    void reportedLimitOfNothingIsNoLimit() {
        relay.accept(1, "safe", 2).pass(MS);
        relay.round(new AttemptCompleted(1, 0, "c", AttemptOutcome.REJECTED, false, 0, MS, new LimitReport(0, 0)));
        relay.pass(3 * S);
        assertEquals(2, relay.sends(1));
    }

    @Test
    void routeListedAndRemovedInOneRoundIsNotUsed() {
        relay.round(
                new EndpointListReceived(EndpointListKind.DELTA, 2, List.of(route("n", 9, "plain", "east"))),
                new EndpointListReceived(
                        EndpointListKind.DELTA,
                        3,
                        List.of(new EndpointEntry("n", 9, "plain", "east", Availability.REMOVED, 0))),
                new MessageAccepted(1, "safe", null, null, 20 * S, 9));
        assertEquals(0, relay.sent.size());
    }

    @Test
    void aRelayAloneAndOneOfFourHundredServe() {
        for (int size : new int[] {1, 400}) {
            PolicyHarness one = new PolicyHarness(PolicyHarness.fleet(size, 3)).list(route("c", 2, "apart", "east"));
            one.accept(1, "safe", 2).pass(MS).answer(1, AttemptOutcome.OK);
            assertEquals(1, one.sends(1));
        }
    }

    private static PolicyHarness peer() {
        return new PolicyHarness(PolicyHarness.peers(2))
                .list(route("a", 1, "plain", "east"), route("b", 2, "plain", "east"));
    }

    private static PeerMessage heard(PeerMessageType word) {
        return new PeerMessage(1, bytes(word, 1));
    }

    private static String note(PeerMessageType word) {
        return HexFormat.of().formatHex(bytes(word, 1));
    }

    private static byte[] bytes(PeerMessageType word, int number) {
        return ByteBuffer.allocate(5).put((byte) word.ordinal()).putInt(number).array();
    }

    @Test
    void asksForTheListAtOnceAndAgainAfterEachFailureInTime() {
        PolicyHarness asking = new PolicyHarness(PolicyHarness.settings(4, 10, true)).list();
        assertEquals(List.of(0L), asking.subscribed);
        for (int failure = 1; failure <= 5; failure++) {
            asking.round(new EndpointListReceived(EndpointListKind.FAILED, 0, List.of()))
                    .pass(10 * S);
            assertEquals(failure + 1, asking.subscribed.size(), "asked within the rule's span");
        }
    }

    @Test
    void settingsWithoutSenseNameTheField() {
        var thrown = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.settings(0, 5));
        assertTrue(thrown.getMessage().contains("maxConcurrentCalls"));
    }

    /** So many served calls to route c that it is called often. */
    private void callOften() {
        for (int id = 1_000; id < 1_008; id++) {
            relay.accept(id, "safe", 2).pass(MS).answer(id, AttemptOutcome.OK);
        }
        relay.sent.clear();
    }

    private void openC() {
        callOften();
        for (int id = 1; id <= 3; id++) {
            relay.accept(id, "once", 2).pass(MS).answer(id, AttemptOutcome.ERROR);
        }
        assertEquals(List.of("circuit: opened route=c cause=failures"), relay.logged);
    }

    private void resume(long id, String type, PastAttempt... past) {
        relay.round(
                new MessageResumed(new MessageAccepted(id, type, null, null, relay.now + 15 * S, 1), List.of(past)));
    }

    @Test
    void resumedOnceWithAnUnknownAttemptFailsAtOnce() {
        resume(1, "once", new PastAttempt("a", relay.now - S, null));
        assertEquals(List.of(1L), relay.failed);
        assertEquals(0, relay.sends(1));
    }

    @Test
    void resumedOnceWhoseAttemptsNeverRanIsSentAgain() {
        resume(1, "once", new PastAttempt("a", relay.now - S, AttemptOutcome.REJECTED));
        assertEquals(1, relay.sends(1));
    }

    @Test
    void resumedKeyedKeepsToItsZoneAndWindow() {
        for (int id = 0; id < 4; id++) {
            resume(id, "keyed", new PastAttempt("b", relay.now - S, null));
        }
        assertEquals(4, relay.sent.size());
        assertTrue(relay.sent.stream().allMatch(s -> s.route().equals("b")));
        resume(30, "keyed", new PastAttempt("b", relay.now - 7 * S, null));
        resume(31, "keyed", new PastAttempt("left the list", relay.now - S, null));
        relay.pass(S);
        assertEquals(0, relay.sends(30) + relay.sends(31));
        relay.pass(15 * S);
        assertTrue(relay.failed.containsAll(List.of(30L, 31L)));
    }

    @Test
    void attemptsBeforeARestartCountOn() {
        PastAttempt past = new PastAttempt("a", relay.now - S, AttemptOutcome.REJECTED);
        resume(1, "safe", past, past, past, past, past, past);
        assertEquals(0, relay.sends(1));
        assertEquals(List.of(1L), relay.refused);
    }

    @Test
    void waitToldToAProbeBindsCalls() {
        relay.round(new ProbeCompleted("a", AttemptOutcome.REJECTED, S, MS, LimitReport.NONE))
                .accept(1, "safe", 1);
        relay.pass(S - MS);
        assertEquals(0, relay.sends(1));
    }
}
