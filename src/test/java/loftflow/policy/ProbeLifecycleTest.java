package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.ProbeCompleted;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a probe holds back other probes of a destination only while its endpoint is listed and it is in flight. */
class ProbeLifecycleTest {
    private static final long PROBE_TIMEOUT = 3 * SECOND / 2;
    /** Longer than any pause between two probes. */
    private static final long LONG_PAUSE = 10 * SECOND;

    private final PolicyHarness relay = new PolicyHarness(PolicyHarness.settings());
    private long nextId = 100;

    /** Opens the circuit of destination 1, and waits until its only endpoint a is probed. */
    private void probeDestination(String requestClass) {
        relay.applyList(route("a", 1, "plain", "east"));
        openCircuit();
        relay.sent.clear();
        relay.probes.clear();
        relay.accept(10, requestClass, 1);
        while (relay.probes.isEmpty() && relay.sent.isEmpty()) {
            relay.advance(10 * MILLISECOND);
        }
    }

    private void openCircuit() {
        for (int id = 1; relay.logged.isEmpty(); id++) {
            relay.accept(id, "once", 1).advance(MILLISECOND);
            if (relay.sendCount(id) > 0) {
                relay.answer(id, AttemptOutcome.ERROR);
            }
        }
    }

    private void endProbe(AttemptOutcome outcome) {
        relay.round(new ProbeCompleted("a", outcome, 0, PROBE_TIMEOUT, LimitReport.NONE));
    }

    private static EndpointEntry unlisted(Availability availability) {
        return new EndpointEntry("a", 1, "plain", "east", availability, 0);
    }

    private void replaceEndpoint(Availability availability) {
        relay.applyChanges(unlisted(availability), route("b", 1, "plain", "east"));
    }

    /** Returns whether endpoint b has been called or checked within a time. */
    private boolean isProbedWithin(long micros) {
        relay.accept(nextId, "safe", 1).advance(micros);
        nextId++;
        return relay.probes.contains("b")
                || relay.sent.stream().anyMatch(sent -> sent.route().equals("b"));
    }

    static Stream<Availability> unlistedStates() {
        return Stream.of(Availability.values()).filter(availability -> availability != Availability.LISTED);
    }

    /** A destination got no call any more after its endpoint was replaced while a health check was out to it. */
    @ParameterizedTest
    @EnumSource(value = AttemptOutcome.class)
    void destinationIsProbedAfterTheCheckedEndpointWasReplaced(AttemptOutcome outcome) {
        probeDestination("once");
        assertEquals(List.of("a"), relay.probes);
        replaceEndpoint(Availability.REMOVED);
        relay.advance(PROBE_TIMEOUT);
        endProbe(outcome);
        assertTrue(isProbedWithin(LONG_PAUSE));
    }

    /** A health check whose end never came kept the destination from being probed for good. */
    @ParameterizedTest
    @MethodSource("unlistedStates")
    void checkOfAnUnlistedEndpointHoldsNothingBack(Availability availability) {
        probeDestination("once");
        replaceEndpoint(availability);
        assertTrue(isProbedWithin(MILLISECOND));
    }

    /** A probing message at a hung endpoint kept its successor from being probed until the message had timed out. */
    @ParameterizedTest
    @MethodSource("unlistedStates")
    void messageAtAnUnlistedEndpointHoldsNothingBack(Availability availability) {
        probeDestination("safe");
        assertEquals("a", relay.sent.get(0).route());
        replaceEndpoint(availability);
        assertTrue(isProbedWithin(MILLISECOND));
    }

    /** The late end of a check to a replaced endpoint let a second probe out beside the one in flight. */
    @Test
    void lateEndOfACheckEndsNoOtherProbe() {
        probeDestination("once");
        replaceEndpoint(Availability.REMOVED);
        assertTrue(isProbedWithin(MILLISECOND));
        int probes = relay.probes.size() + relay.sent.size();
        endProbe(AttemptOutcome.NOT_SENT);
        relay.accept(50, "safe", 1).advance(MILLISECOND);
        assertEquals(probes, relay.probes.size() + relay.sent.size());
    }

    /** The end of a check was taken as the one of an endpoint that was listed again under its name. */
    @Test
    void endpointThatIsListedAgainIsProbedOnceItsCheckHasEnded() {
        probeDestination("once");
        relay.applyChanges(unlisted(Availability.REMOVED));
        relay.applyChanges(route("a", 1, "plain", "east"));
        relay.advance(PROBE_TIMEOUT);
        assertEquals(List.of("a"), relay.probes);
        endProbe(AttemptOutcome.TIMEOUT);
        relay.advance(LONG_PAUSE);
        assertEquals(List.of("a", "a"), relay.probes);
    }

    /** The second report of a check's end let a probe out beside the one in flight. */
    @Test
    void repeatedEndOfACheckIsIgnored() {
        probeDestination("once");
        endProbe(AttemptOutcome.TIMEOUT);
        endProbe(AttemptOutcome.OK);
        assertEquals(
                List.of(),
                relay.logged.stream().filter(line -> line.contains("closed")).toList());
        relay.advance(LONG_PAUSE);
        assertEquals(List.of("a", "a"), relay.probes);
    }

    /** One of several endpoints is gone; its check keeps the others from nothing. */
    @Test
    void anotherEndpointIsProbedAfterTheCheckedOneIsGone() {
        relay.applyList(route("a", 1, "plain", "east"), route("b", 1, "plain", "east"));
        openCircuit();
        relay.probes.clear();
        while (relay.probes.isEmpty()) {
            relay.accept(nextId, "once", 1).advance(100 * MILLISECOND);
            nextId++;
        }
        String checked = relay.probes.get(0);
        String other = checked.equals("a") ? "b" : "a";
        relay.sent.clear();
        relay.probes.clear();
        relay.applyChanges(new EndpointEntry(checked, 1, "plain", "east", Availability.REMOVED, 0));
        relay.accept(99, "once", 1).advance(MILLISECOND);
        assertEquals(List.of(other), relay.probes);
    }
}
