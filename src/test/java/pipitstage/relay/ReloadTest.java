package pipitstage.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pipitstage.relay.RelayProcess.await;
import static pipitstage.relay.RelayProcess.list;
import static pipitstage.relay.RelayProcess.target;
import static pipitstage.relay.StubPeer.answer;
import static pipitstage.relay.StubPeer.status;

import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A configuration that is replaced while the relay runs. */
class ReloadTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), StubPeer.always(status(200)));
    }

    /** Discovery with a list of its own, which takes every notice. */
    private static StubPeer discovery(String list) throws IOException {
        return new StubPeer(request -> request.line().startsWith("POST") ? status(204)
                : request.line().contains("after=") ? StubPeer.SILENCE : answer(200, list));
    }

    @Test
    void hangUpMovesTheWatchAgainAndAgain() throws IOException {
        relay.start();
        assertEquals(202, relay.handIn("m0", "safe", 7));
        await(() -> host.count("POST") == 1);
        String same = target("h1", 7, "one", "in_service", host.address()).replace("1.0", "2.0");
        try (StubPeer second = discovery(list(1, true, same));
                StubPeer other = StubPeer.always(status(200));
                StubPeer third = discovery(list(0, true, target("h2", 7, "one", "in_service", other.address())))) {
            relay.moveDiscovery(second);
            await(() -> second.count("GET /api/targets?after=1&") > 0);
            assertEquals(202, relay.handIn("m1", "safe", 7));
            await(() -> host.count("POST") == 2);
            assertEquals(1, host.connections.size(), "a host that stays where it is keeps its connections");
            relay.moveDiscovery(third);
            await(() -> third.count("GET /api/targets?after=0&") > 0);
            assertEquals("GET /api/targets HTTP/1.1", third.requests.get(0).line());
            assertEquals(202, relay.handIn("m2", "safe", 7));
            await(() -> other.count("POST") == 1);
        }
    }

    @Test
    void noticeThatTheOldAddressLeftUnansweredGoesToTheNewOne() throws IOException, InterruptedException {
        discovery.answer(request -> StubPeer.SILENCE);
        host.answer(request -> StubPeer.CLOSE);
        relay.start().handIn("u1", "unsafe", 7);
        await(() -> relay.noticed("u1", "dead"));
        try (StubPeer next = RelayProcess.quietDiscovery()) {
            relay.moveDiscovery(next);
            await(() -> relay.noticed("u1", "dead"));
            await(() -> relay.journaled().isEmpty());
            relay.terminate();
            assertTrue(relay.hasEnded());
        }
    }

    @Test
    void configurationThatCannotBeReadLeavesTheOldOneInForce() throws IOException {
        relay.start();
        relay.spoilConfiguration();
        await(() -> relay.log().contains("the old configuration stays in force"));
        host.answer(request -> StubPeer.CLOSE);
        assertEquals(202, relay.handIn("u2", "unsafe", 7));
        await(() -> relay.noticed("u2", "dead"));
    }
}
