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

/** Tests of {@link SendPermits}, played through the policy as a whole. */
class SendPermitsTest extends PolicyTestBase {

    private static PolicyHarness relayWithPeers() {
        return new PolicyHarness(PolicyHarness.peers(2))
                .applyList(route("a", 1, "plain", "east"), route("b", 2, "plain", "east"));
    }

    private static String peerMessageHex(PeerMessageType word) {
        return HexFormat.of().formatHex(peerMessageBytes(word, 1));
    }

    @Test
    void rejectionIsReportedToTheCoordinator() {
        PolicyHarness peer = relayWithPeers();
        peer.accept(1, "safe", 1).advance(MILLISECOND).answer(1, AttemptOutcome.REJECTED);
        assertEquals(List.of("1:" + peerMessageHex(PeerMessageType.REJECTED)), peer.peerMessages);
    }

    @Test
    void congestedDestinationIsCalledByPermit() {
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
    void lostPermitCostsAFewSecondsOnly() {
        PolicyHarness peer = relayWithPeers();
        peer.round(peerMessage(PeerMessageType.CONGESTION_NOTICE))
                .accept(1, "safe", 1)
                .advance(9 * SECOND);
        assertEquals(1, peer.sent.size());
    }

    @Test
    void coordinatorIssuesPermitsOneAtATime() {
        PolicyHarness keeper = relayWithPeers();
        for (int from = 1; from <= 60; from++) {
            keeper.round(new PeerMessage(from, peerMessageBytes(PeerMessageType.REJECTED, 2)));
        }
        keeper.advance(5 * SECOND);
        long turns = keeper.peerMessages.stream()
                .filter(t -> t.endsWith(HexFormat.of().formatHex(peerMessageBytes(PeerMessageType.PERMIT, 2))))
                .count();
        assertTrue(turns >= 5 && turns <= 20, "turns in five seconds: " + turns);
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
        assertEquals(1, peer.sends(1));
    }
}
