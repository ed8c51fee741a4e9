package loftflow.server;

import static loftflow.fake.ScriptedPeer.answer;
import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static loftflow.server.RelayProcess.list;
import static loftflow.server.RelayProcess.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A configuration that is replaced while the relay runs. */
class ConfigReloaderTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), ScriptedPeer.always(status(200)));
    }

    /** Discovery with a list of its own, which acknowledges every completion. */
    private static ScriptedPeer discovery(String list) throws IOException {
        return new ScriptedPeer(request -> request.line().startsWith("POST")
                ? status(204)
                : request.line().contains("after=") ? ScriptedPeer.SILENCE : answer(200, list));
    }

    @Test
    void hangUpMovesTheWatchAgainAndAgain() throws IOException {
        relay.start();
        assertEquals(202, relay.submit("m0", "safe", 7));
        await(() -> host.count("POST") == 1);
        String same = target("h1", 7, "one", "in_service", host.address()).replace("1.0", "2.0");
        try (ScriptedPeer second = discovery(list(1, true, same));
                ScriptedPeer other = ScriptedPeer.always(status(200));
                ScriptedPeer third = discovery(list(0, true, target("h2", 7, "one", "in_service", other.address())))) {
            relay.moveDiscovery(second);
            await(() -> second.count("GET /api/targets?after=1&") > 0);
            assertEquals(202, relay.submit("m1", "safe", 7));
            await(() -> host.count("POST") == 2);
            assertEquals(1, host.connections.size(), "an upstream whose address stays the same stays connected");
            relay.moveDiscovery(third);
            await(() -> third.count("GET /api/targets?after=0&") > 0);
            assertEquals("GET /api/targets HTTP/1.1", third.requests.get(0).line());
            assertEquals(202, relay.submit("m2", "safe", 7));
            await(() -> other.count("POST") == 1);
        }
    }

    @Test
    void completionThatTheOldAddressLeftUnansweredIsSentToTheNewOne() throws IOException, InterruptedException {
        discovery.answer(request -> ScriptedPeer.SILENCE);
        host.answer(request -> ScriptedPeer.CLOSE);
        relay.start().submit("u1", "unsafe", 7);
        await(() -> relay.hasNotified("u1", "dead"));
        try (ScriptedPeer next = RelayProcess.quietDiscovery()) {
            relay.moveDiscovery(next);
            await(() -> relay.hasNotified("u1", "dead"));
            await(() -> relay.openJournalMessages().isEmpty());
            relay.terminate();
            assertTrue(relay.hasEnded());
        }
    }

    @Test
    void unreadableConfigurationLeavesTheOldOneInForce() throws IOException {
        relay.start();
        relay.corruptConfiguration("{");
        await(() -> relay.log().contains("config: reload failed, old configuration stays in force"));
        host.answer(request -> ScriptedPeer.CLOSE);
        assertEquals(202, relay.submit("u2", "unsafe", 7));
        await(() -> relay.hasNotified("u2", "dead"));
    }

    /** Waits until the relay has the full list of this discovery and watches for later versions. */
    private static void awaitWatch(ScriptedPeer peer) {
        await(() -> peer.count("GET /api/targets?after=") > 0);
    }

    private ScriptedPeer sameHost(int rev) throws IOException {
        return discovery(list(rev, true, target("h1", 7, "one", "in_service", host.address())));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "null", "{\"name\":\"n0\"}", "\u0000"})
    void incompleteFileAtTheSignalIsRetriedUntilItIsComplete(String half) throws Exception {
        relay.start();
        relay.corruptConfiguration(half);
        await(() -> relay.log().contains("config: reload failed, old configuration stays in force"));
        // Discovery answers here, so that only a retry after the signal can read the complete file.
        discovery.answer(request -> answer(200, list(2, false)));
        Thread.sleep(300);
        try (ScriptedPeer next = sameHost(4)) {
            relay.replaceConfiguration(next);
            awaitWatch(next);
        }
    }

    @Test
    void severalSignalsAtOnceEndWithTheNewestFile() throws IOException {
        relay.start();
        try (ScriptedPeer second = sameHost(2);
                ScriptedPeer third = sameHost(3);
                ScriptedPeer fourth = sameHost(4)) {
            relay.moveDiscovery(second);
            relay.moveDiscovery(third);
            relay.moveDiscovery(fourth);
            awaitWatch(fourth);
            long before = second.requests.size() + third.requests.size();
            assertEquals(202, relay.submit("s1", "safe", 7));
            await(() -> host.count("POST") == 1);
            assertEquals(
                    before, second.requests.size() + third.requests.size(), "the older addresses are no longer used");
        }
    }

    @Test
    void signalToAStoppedProcessTakesEffectOnceItResumes() throws IOException {
        relay.start();
        relay.pause();
        try (ScriptedPeer next = sameHost(5)) {
            relay.moveDiscovery(next);
            relay.sendHangUp();
            relay.resume();
            awaitWatch(next);
        }
    }

    @Test
    void answerOfTheOldAgentAfterTheMoveIsIgnored() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        try (ScriptedPeer wrong = ScriptedPeer.always(status(200));
                ScriptedPeer next = sameHost(3)) {
            String old = list(90, true, target("h9", 7, "one", "in_service", wrong.address()));
            discovery.answer(request -> {
                try {
                    late.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                return answer(200, old);
            });
            ScriptedPeer before = discovery;
            relay.start();
            await(() -> before.count("GET") > 0);
            relay.moveDiscovery(next);
            awaitWatch(next);
            late.countDown();
            assertEquals(202, relay.submit("l1", "safe", 7));
            await(() -> host.count("POST") == 1);
            assertEquals(0, wrong.requests.size());
            assertEquals(
                    0,
                    next.count("GET /api/targets?after=90"),
                    "the new agent is not queried by a version of the old one");
            before.close();
        }
    }

    @Test
    void newAddressThatRefusesAtFirstIsRetried() throws Exception {
        relay.start();
        ScriptedPeer closed = sameHost(6);
        closed.close();
        relay.moveDiscovery(closed);
        await(() -> relay.log().contains("discovery: agent address configured address=/" + closed.address()));
        Thread.sleep(300);
        try (ScriptedPeer next = new ScriptedPeer(
                closed.port(),
                request -> request.line().startsWith("POST")
                        ? status(204)
                        : answer(200, list(6, true, target("h1", 7, "one", "in_service", host.address()))))) {
            awaitWatch(next);
        }
    }

    @Test
    void replacedFileIsReadWithoutASignalWhileDiscoveryIsUnresponsive() throws IOException {
        relay.start();
        try (ScriptedPeer next = sameHost(8)) {
            relay.replaceConfiguration(next);
            awaitWatch(next);
            host.answer(request -> ScriptedPeer.CLOSE);
            assertEquals(202, relay.submit("u3", "unsafe", 7));
            await(() -> relay.hasNotified("u3", "dead"));
        }
    }
}
