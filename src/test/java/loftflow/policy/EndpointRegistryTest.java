package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.List;
import java.util.Map;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListPending;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import org.junit.jupiter.api.Test;

/** Tests {@link EndpointRegistry} through rounds of the complete policy. */
class EndpointRegistryTest extends PolicyTestBase {

    private static Object field(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }

    @Test
    void routesThatLeftTheListAreRemoved() throws ReflectiveOperationException {
        for (int i = 0; i < 1000; i++) {
            String routeName = "apart" + i;
            relay.applyList(route("plain" + i, 1, "plain", "east"), route(routeName, 2, "apart", "east"));
            relay.accept(i, "safe", 2).advance(100 * MILLISECOND);
            relay.applyChanges(new EndpointEntry(routeName, 2, "apart", "east", Availability.REMOVED, 0));
            while (!relay.unanswered.isEmpty()) {
                relay.answer(relay.unanswered.get(0).id(), i % 2 == 0 ? AttemptOutcome.OK : AttemptOutcome.ERROR);
            }
            relay.advance(100 * MILLISECOND);
        }
        relay.applyList();
        for (String name : List.of("routes", "groups")) {
            int remaining = ((Map<?, ?>) field(field(relay.policy(), "endpoints"), name)).size();
            assertTrue(remaining < 5, name + " remaining: " + remaining);
        }
    }

    @Test
    void outcomeOfAnAttemptAtARemovedRouteIsProcessed() {
        relay.accept(1, "safe", 2).advance(MILLISECOND).applyList();
        relay.answer(1, AttemptOutcome.ERROR)
                .applyList(route("c", 2, "apart", "east"))
                .advance(4 * SECOND);
        assertEquals(2, relay.sendCount(1));
    }

    @Test
    void nothingIsSentByAListFromBeforeARestartUntilANewerOneOrATimeout() {
        PolicyHarness restartedRelay = new PolicyHarness(PolicyHarness.settings());
        restartedRelay.round(
                new EndpointListReceived(EndpointListKind.CACHED, 0, List.of(route("c", 2, "apart", "east"))),
                new MessageResumed(new MessageAccepted(1, "safe", null, null, 20 * SECOND, 2), List.of()),
                new MessageResumed(new MessageAccepted(2, "safe", null, null, 100 * MILLISECOND, 2), List.of()),
                new EndpointListPending(400 * MILLISECOND));
        restartedRelay.advance(399 * MILLISECOND);
        assertEquals(0, restartedRelay.sent.size());
        assertEquals(List.of(2L), restartedRelay.rejected, "messages expire during the wait");
        restartedRelay.advance(MILLISECOND);
        assertEquals(1, restartedRelay.sendCount(1));
        PolicyHarness updatedRelay = new PolicyHarness(PolicyHarness.settings());
        updatedRelay.round(
                new EndpointListReceived(EndpointListKind.CACHED, 0, List.of(route("c", 2, "apart", "east"))),
                new MessageResumed(new MessageAccepted(1, "safe", null, null, 20 * SECOND, 2), List.of()),
                new EndpointListPending(400 * MILLISECOND));
        updatedRelay.applyChanges(
                new EndpointEntry("c", 2, "apart", "east", Availability.DRAINING, 0), route("e", 2, "apart", "east"));
        assertEquals("e", updatedRelay.sent.get(0).route());
    }

    @Test
    void nothingIsSentToDrainingRemovedOrUnlistedRoutes() {
        relay.applyChanges(
                new EndpointEntry("a", 1, "plain", "east", Availability.DRAINING, 0),
                new EndpointEntry("b", 1, "plain", "west", Availability.REMOVED, 0));
        relay.applyList(route("a2", 5, "plain", "east"));
        relay.accept(1, "safe", 1).accept(2, "safe", 2).advance(SECOND);
        assertEquals(0, relay.sent.size());
    }

    @Test
    void routeListedAndRemovedInOneRoundIsNotUsed() {
        relay.round(
                new EndpointListReceived(EndpointListKind.DELTA, 2, List.of(route("n", 9, "plain", "east"))),
                new EndpointListReceived(
                        EndpointListKind.DELTA,
                        3,
                        List.of(new EndpointEntry("n", 9, "plain", "east", Availability.REMOVED, 0))),
                new MessageAccepted(1, "safe", null, null, 20 * SECOND, 9));
        assertEquals(0, relay.sent.size());
    }

    @Test
    void subscribesAtOnceAndAgainAfterEachFailure() {
        PolicyHarness subscribingRelay = new PolicyHarness(PolicyHarness.settings(4, 10, true)).applyList();
        assertEquals(List.of(0L), subscribingRelay.subscribedAtMicros);
        for (int failure = 1; failure <= 5; failure++) {
            subscribingRelay
                    .round(new EndpointListReceived(EndpointListKind.FAILED, 0, List.of()))
                    .advance(10 * SECOND);
            assertEquals(
                    failure + 1,
                    subscribingRelay.subscribedAtMicros.size(),
                    "subscribed again within the renewal period");
        }
    }
}
