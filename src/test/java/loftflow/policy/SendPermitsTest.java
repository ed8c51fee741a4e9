package loftflow.policy;

import static loftflow.policy.PolicyHarness.MILLISECOND;
import static loftflow.policy.PolicyHarness.SECOND;
import static loftflow.policy.PolicyHarness.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HexFormat;
import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.PeerMessage;
import org.junit.jupiter.api.Test;

/** Tests {@link SendPermits} through rounds of the complete policy. */
class SendPermitsTest extends PolicyTestBase {

    private static PolicyHarness relayWithPeers() {
        return new PolicyHarness(PolicyHarness.fleetWithPeerMessages(2))
                .applyList(route("a", 1, "plain", "east"), route("b", 2, "plain", "east"));
    }

    private static String peerMessageHex(PeerMessageType type) {
        return HexFormat.of().formatHex(peerMessageBytes(type, 1));
    }

    @Test
    void rejectionIsReportedToTheCoordinator() {
        PolicyHarness peer = relayWithPeers();
        peer.accept(1, "safe", 1).advance(MILLISECOND).answer(1, AttemptOutcome.REJECTED);
        assertEquals(List.of("1:" + peerMessageHex(PeerMessageType.REJECTED)), peer.peerMessages);
    }

    @Test
    void congestedDestinationRequiresPermits() {
        PolicyHarness peer = relayWithPeers();
        peer.round(peerMessage(PeerMessageType.CONGESTION_NOTICE))
                .accept(1, "safe", 1)
                .accept(2, "safe", 1)
                .advance(SECOND);
        assertEquals(0, peer.sent.size());
        peer.round(peerMessage(PeerMessageType.PERMIT));
        assertEquals(1, peer.sent.size());
        assertEquals(
                List.of(
                        "1:" + peerMessageHex(PeerMessageType.PERMIT_REQUEST),
                        "1:" + peerMessageHex(PeerMessageType.PERMIT_REQUEST)),
                peer.peerMessages);
    }

    @Test
    void lostPermitDelaysSendingByAFewSecondsOnly() {
        PolicyHarness peer = relayWithPeers();
        peer.round(peerMessage(PeerMessageType.CONGESTION_NOTICE))
                .accept(1, "safe", 1)
                .advance(9 * SECOND);
        assertEquals(1, peer.sent.size());
    }

    @Test
    void coordinatorIssuesPermitsOneAtATime() {
        PolicyHarness coordinator = relayWithPeers();
        for (int sender = 1; sender <= 60; sender++) {
            coordinator.round(new PeerMessage(sender, peerMessageBytes(PeerMessageType.REJECTED, 2)));
        }
        coordinator.advance(5 * SECOND);
        long permits = coordinator.peerMessages.stream()
                .filter(message ->
                        message.endsWith(HexFormat.of().formatHex(peerMessageBytes(PeerMessageType.PERMIT, 2))))
                .count();
        assertTrue(permits >= 5 && permits <= 20, "permits in five seconds: " + permits);
    }

    @Test
    void malformedPeerMessagesAreIgnored() {
        PolicyHarness peer = relayWithPeers();
        peer.round(
                new PeerMessage(1, new byte[0]),
                new PeerMessage(1, new byte[] {9, 0, 0, 0, 1}),
                new PeerMessage(1, new byte[] {-1, 0, 0, 0, 1}),
                new PeerMessage(1, new byte[256]));
        peer.accept(1, "safe", 1);
        assertEquals(1, peer.sendCount(1));
    }
}
