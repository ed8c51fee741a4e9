package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TrustLevel;
import org.junit.jupiter.api.Test;

/** Tests {@link WarmStart} through rounds of the complete policy. */
class WarmStartTest {
    private static RouteRestored restored(String route, TrustLevel trust, RouteSnapshot snapshot) {
        return new RouteRestored(
                trust,
                new RouteSnapshot(
                        route,
                        snapshot.retryAfterRemainingMicros(),
                        snapshot.limitPerSecond(),
                        snapshot.usualRatePerSecond(),
                        snapshot.responseTimeMicros(),
                        snapshot.circuitOpen(),
                        snapshot.warmUpRemainingMicros()));
    }

    private static RouteSnapshot snapshot(
            long retryAfter, double limit, double usualRate, boolean circuitOpen, long warmUp) {
        return new RouteSnapshot("", retryAfter, limit, usualRate, 50_000, circuitOpen, warmUp);
    }

    private static EndpointListReceived cached(EndpointEntry... entries) {
        return new EndpointListReceived(EndpointListKind.CACHED, 1, List.of(entries));
    }

    private static void accept(PolicyHarness relay, int from, int count, String requestClass, int destination) {
        for (int id = from; id < from + count; id++) {
            relay.accept(id, requestClass, destination);
        }
    }

    private static void answerProbes(PolicyHarness relay) {
        for (String route : List.copyOf(relay.probes)) {
            relay.probes.remove(route);
            relay.round(new ProbeCompleted(route, AttemptOutcome.OK, 0, MILLISECOND, LimitReport.NONE));
        }
    }

    /** Advances the clock while every call is served after 50 ms, and returns the number of calls sent. */
    private static int serve(PolicyHarness relay, long duration) {
        int before = relay.sent.size();
        for (long end = relay.now + duration; relay.now < end; ) {
            relay.advance(50 * MILLISECOND);
            answerProbes(relay);
            for (PolicyHarness.Sent sent : List.copyOf(relay.unanswered)) {
                relay.answer(sent.id(), AttemptOutcome.OK);
            }
        }
        return relay.sent.size() - before;
    }

    @Test
    void rateOfATrustedRouteStartsAtThisRelaysShareOfTheLimitAndGrows() {
        int sum = 0;
        for (int seed = 0; seed < 12; seed++) {
            PolicyHarness relay = new PolicyHarness(PolicyHarness.fleet(12, seed));
            relay.round(
                    cached(route("c", 2, "apart", "east")),
                    restored("c", TrustLevel.AS_LISTED, snapshot(0, 24, 3, false, 0)));
            accept(relay, 1, 90, "safe", 2);
            sum += serve(relay, SECOND);
            assertTrue(serve(relay, 9 * SECOND) > 18, "the rate grows while calls are served");
        }
        assertTrue(sum >= 10 && sum <= 36, "the fleet's first second, at a limit of 24: " + sum);
    }

    @Test
    void routeWithoutALimitStartsAtItsUsualRate() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.fleet(12, 5));
        relay.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.AS_LISTED, snapshot(0, 0, 4, false, 0)));
        accept(relay, 1, 90, "safe", 2);
        int sentCount = serve(relay, 2 * SECOND);
        assertTrue(sentCount >= 3 && sentCount <= 11, "sent in two seconds: " + sentCount);
    }

    @Test
    void retryAfterIsRestored() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.settings());
        relay.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.AS_LISTED, snapshot(5 * SECOND, 0, 100, false, 0)));
        relay.accept(1, "safe", 2).advance(5 * SECOND - MILLISECOND);
        assertEquals(0, relay.sent.size());
        relay.advance(SECOND);
        answerProbes(relay);
        assertEquals(1, relay.sent.size());
    }

    /**
     * Within seconds an address may belong to another endpoint, so a trusted route is probed too, but has no ramp
     * afterwards.
     */
    @Test
    void trustedRouteIsProbedToo() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.fleet(1, 3));
        relay.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.AS_LISTED, snapshot(0, 20, 0, false, 0)));
        accept(relay, 1, 30, "once", 2);
        relay.advance(SECOND);
        assertEquals(0, relay.sent.size());
        assertEquals(List.of("c"), relay.probes);
        assertTrue(
                relay.policy().routeSnapshots(relay.now).stream().noneMatch(RouteSnapshot::circuitOpen),
                "open only for the address check");
        assertTrue(serve(relay, SECOND) > 12, "no ramp");
    }

    @Test
    void untrustedRouteIsProbedBeforeAnyMessage() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.settings());
        relay.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.PROBE_FIRST, snapshot(0, 20, 0, false, 0)));
        accept(relay, 1, 3, "safe", 2);
        relay.advance(9 * SECOND);
        assertEquals(0, relay.sent.size(), "no message is sent to an unverified address");
        assertEquals(List.of("c"), relay.probes);
        relay.round(new ProbeCompleted("c", AttemptOutcome.OK, 0, 1000, LimitReport.NONE))
                .advance(SECOND);
        assertTrue(relay.sent.size() >= 1, "messages are sent after the probe");
    }

    @Test
    void failedHealthCheckBlocksMessagesAndIsRepeated() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.settings());
        relay.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.PROBE_FIRST, snapshot(0, 0, 0, false, 0)));
        relay.accept(1, "once", 2).advance(2 * SECOND);
        relay.round(new ProbeCompleted("c", AttemptOutcome.CONNECT_FAILED, 0, 1000, LimitReport.NONE));
        relay.advance(SECOND);
        assertEquals(1, relay.probes.size(), "not repeated immediately");
        relay.advance(6 * SECOND);
        assertEquals(2, relay.probes.size());
        assertEquals(0, relay.sent.size());
    }

    @Test
    void routeWithAnOpenCircuitRampsUpAfterOneProbe() {
        int sum = 0;
        for (int seed = 0; seed < 10; seed++) {
            PolicyHarness relay = new PolicyHarness(PolicyHarness.fleet(10, seed));
            relay.round(
                    cached(route("c", 2, "apart", "east")),
                    restored("c", TrustLevel.AS_LISTED, snapshot(0, 50, 0, true, 0)));
            accept(relay, 1, 90, "safe", 2);
            relay.advance(5 * SECOND);
            assertEquals(0, relay.sent.size(), "no message before the health check");
            sum += serve(relay, SECOND);
        }
        // The cold destination takes a fifth of 50 calls per second and fails at twice that rate.
        assertTrue(sum <= 20, "the fleet's first second: " + sum);
    }

    @Test
    void routeThatRecoveredJustBeforeTheRestartStillRampsUp() {
        PolicyHarness warm = new PolicyHarness(PolicyHarness.fleet(1, 3));
        PolicyHarness cold = new PolicyHarness(PolicyHarness.fleet(1, 3));
        warm.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.AS_LISTED, snapshot(0, 20, 0, false, 0)));
        cold.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.AS_LISTED, snapshot(0, 20, 0, false, 9 * SECOND)));
        accept(warm, 1, 90, "safe", 2);
        accept(cold, 1, 90, "safe", 2);
        int sentCold = serve(cold, SECOND);
        int sentWarm = serve(warm, SECOND);
        assertTrue(sentCold < 0.75 * sentWarm, "cold: " + sentCold + ", warm: " + sentWarm);
    }

    @Test
    void lastResortIsProbedOnlyIfNoOtherRouteIsLeft() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.settings());
        relay.round(
                cached(route("a", 1, "plain", "east"), route("b", 1, "plain", "west")),
                restored("a", TrustLevel.PROBE_FIRST, snapshot(0, 0, 0, false, 0)),
                restored("b", TrustLevel.LAST_RESORT, snapshot(0, 0, 0, false, 0)));
        relay.accept(1, "safe", 1).advance(2 * SECOND);
        assertEquals(List.of("a"), relay.probes);
        relay.round(new ProbeCompleted("a", AttemptOutcome.CONNECT_FAILED, 0, 1000, LimitReport.NONE))
                .advance(4 * SECOND);
        assertTrue(relay.probes.contains("b"), relay.probes.toString());
    }

    @Test
    void listFromDiscoveryVerifiesTheRoute() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.settings());
        relay.round(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.LAST_RESORT, snapshot(0, 0, 0, false, 0)));
        relay.applyList(route("c", 2, "apart", "east")).accept(1, "safe", 2).advance(9 * SECOND);
        assertEquals(1, relay.sent.size(), "sent without a health check");
        assertTrue(relay.probes.isEmpty());
    }

    /** Resumed messages are sent within the rate limit like any others, those of the highest value first. */
    @Test
    void resumedMessagesAreSentWithinTheRateLimitHighestValueFirst() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.fleet(10, 3));
        List<PolicyEvent> events = new java.util.ArrayList<>(List.of(
                cached(route("c", 2, "apart", "east")),
                restored("c", TrustLevel.AS_LISTED, snapshot(0, 30, 0, false, 0))));
        for (int id = 0; id < 60; id++) {
            events.add(new MessageResumed(
                    new MessageAccepted(id, id % 6 == 5 ? "quick" : "safe", null, null, 20 * SECOND, 2), List.of()));
        }
        relay.round(events.toArray(PolicyEvent[]::new));
        int sentCount = serve(relay, 2 * SECOND);
        assertTrue(sentCount >= 3 && sentCount <= 10, "sent in two seconds, at three per second: " + sentCount);
        assertTrue(relay.sent.stream().limit(3).allMatch(s -> s.id() % 6 == 5), "highest value first: " + relay.sent);
    }

    @Test
    void snapshotHoldsTheObservationsOfARoute() {
        PolicyHarness relay = new PolicyHarness(PolicyHarness.settings());
        relay.applyList(route("c", 2, "apart", "east"), route("a", 1, "plain", "east"));
        for (int id = 1; id <= 30; id++) {
            relay.accept(id, "safe", 2)
                    .advance(50 * MILLISECOND)
                    .answer(id, AttemptOutcome.OK)
                    .advance(50 * MILLISECOND);
        }
        relay.accept(40, "safe", 1).answer(40, AttemptOutcome.REJECTED, 2 * SECOND);
        List<RouteSnapshot> snapshots = relay.policy().routeSnapshots(relay.now);
        RouteSnapshot c = snapshots.stream()
                .filter(s -> s.route().equals("c"))
                .findFirst()
                .orElseThrow();
        assertTrue(
                c.usualRatePerSecond() > 1
                        && c.usualRatePerSecond() < 10
                        && c.responseTimeMicros() > 40_000
                        && !c.circuitOpen(),
                c.toString());
        RouteSnapshot a = snapshots.stream()
                .filter(s -> s.route().equals("a"))
                .findFirst()
                .orElseThrow();
        assertEquals(2 * SECOND, a.retryAfterRemainingMicros());
        relay.accept(50, "once", 2);
        for (int i = 0; i < 3; i++) {
            relay.answer(50, AttemptOutcome.CONNECT_FAILED).advance(MILLISECOND);
        }
        c = relay.policy().routeSnapshots(relay.now).stream()
                .filter(s -> s.route().equals("c"))
                .findFirst()
                .orElseThrow();
        assertTrue(c.circuitOpen() && c.usualRatePerSecond() > 1, c.toString());
    }
}
