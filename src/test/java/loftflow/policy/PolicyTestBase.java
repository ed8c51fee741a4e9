package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.PeerMessage;

/** Base class of the tests of the policy's rules: a relay with four routes to three destinations, and helpers. */
abstract class PolicyTestBase {

    final PolicyHarness relay = new PolicyHarness(PolicyHarness.settings())
            .applyList(
                    route("a", 1, "plain", "east"),
                    route("b", 1, "plain", "west"),
                    route("c", 2, "apart", "east"),
                    route("d", 3, "bulk", "east"));

    MessageResumed resumedMessage(long id) {
        return new MessageResumed(new MessageAccepted(id, "safe", null, null, relay.now + 3 * SECOND, 1), List.of());
    }

    MessageAccepted acceptedMessage(long id, long remainingMicros) {
        return new MessageAccepted(id, "safe", null, null, relay.now + remainingMicros, 2);
    }

    /**
     * Returns a relay with four calls in flight for so long that their route is unresponsive, and eleven waiting
     * messages.
     */
    static PolicyHarness relayWithUnresponsiveRouteC() {
        PolicyHarness largeRelay =
                new PolicyHarness(PolicyHarness.settings(100, 200)).applyList(route("c", 2, "apart", "east"));
        for (int id = 0; id < 4; id++) {
            largeRelay.accept(id, "once", 2).advance(100 * MILLISECOND);
        }
        largeRelay.advance(3 * SECOND);
        for (int id = 10; id < 21; id++) {
            largeRelay.accept(id, "safe", 2);
        }
        return largeRelay;
    }

    static PeerMessage peerMessage(PeerMessageType type) {
        return new PeerMessage(1, peerMessageBytes(type, 1));
    }

    static byte[] peerMessageBytes(PeerMessageType type, int groupId) {
        return ByteBuffer.allocate(5).put((byte) type.code()).putInt(groupId).array();
    }

    /** Serves enough calls on route c that it does not count as rarely called. */
    void callRouteCOften() {
        for (int id = 1_000; id < 1_008; id++) {
            relay.accept(id, "safe", 2).advance(MILLISECOND).answer(id, AttemptOutcome.OK);
        }
        relay.sent.clear();
    }

    void openCircuitOfRouteC() {
        callRouteCOften();
        for (int id = 1; id <= 3; id++) {
            relay.accept(id, "once", 2).advance(MILLISECOND).answer(id, AttemptOutcome.ERROR);
        }
        assertEquals(List.of("circuit: opened route=c cause=failures"), relay.logged);
    }
}
