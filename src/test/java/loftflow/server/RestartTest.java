package loftflow.server;

import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loftflow.fake.ScriptedPeer;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how a relay resumes open messages and unacknowledged completions after a kill or a graceful shutdown. */
class RestartTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(ScriptedPeer.SILENCE));
    }

    /** Kills the relay while its attempt of a message is in flight, and restarts it. */
    private void killDuringAttempt(String id, String requestClass) throws IOException {
        assertEquals(202, relay.start().submit(id, requestClass, 7));
        await(() -> host.requests.size() == 1);
        relay.kill();
        host.answer(request -> status(200));
        relay.start();
    }

    @Test
    void idempotentMessageIsResumed() throws IOException {
        killDuringAttempt("s1", "safe");
        await(() -> host.requests.size() == 2);
        assertEquals("s1", host.requests.get(1).id());
        assertEquals("hello", host.requests.get(1).body());
    }

    /**
     * Discovery reported the drain while the relay was down. The relay must respect it from its start, although the
     * list in its configuration is older.
     */
    @Test
    void endpointDrainedWhileTheRelayWasDownReceivesNoMessage() throws IOException {
        assertEquals(202, relay.start().submit("s1", "safe", 7));
        await(() -> host.requests.size() == 1);
        relay.kill();
        try (ScriptedPeer other = ScriptedPeer.always(status(200))) {
            discovery.answer(request -> {
                if (request.line().startsWith("POST /status")) {
                    return status(204);
                }
                if (request.line().contains("after=")) {
                    return ScriptedPeer.SILENCE;
                }
                // A relay that used its old list would send the message before this response.
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                return ScriptedPeer.answer(
                        200,
                        RelayProcess.list(
                                2,
                                true,
                                RelayProcess.target("h1", 7, "one", "terminating", host.address()),
                                RelayProcess.target("h2", 7, "one", "in_service", other.address())));
            });
            relay.start();
            await(() -> other.requests.size() == 1);
            assertEquals("s1", other.requests.get(0).id());
            assertEquals(1, host.requests.size());
        }
    }

    /** The key window is as long as the message's time budget, because a restart takes seconds on a busy machine. */
    @Test
    void keyedMessageIsSentAgainWithinItsWindow() throws IOException {
        relay.withKeyWindow("20");
        killDuringAttempt("k1", "keyed");
        await(() -> host.requests.size() == 2);
        assertEquals("key-k1", host.requests.get(1).headers().get("idempotency-key"));
    }

    /** Guards against a retry after the destination has forgotten the key, because the restart outlasted the window. */
    @Test
    void keyedMessageIsNotSentAgainAfterItsWindow() throws IOException {
        relay.withKeyWindow("1").start();
        assertEquals(202, relay.submit("k1", "keyed", 7, 6_000, "hello"));
        await(() -> host.requests.size() == 1);
        relay.kill();
        host.answer(request -> status(200));
        long windowEndNanos = host.requests.get(0).at() + TimeUnit.SECONDS.toNanos(1);
        await(() -> System.nanoTime() > windowEndNanos);
        relay.start();
        await(() -> relay.hasNotified("k1", "dead"));
        assertEquals(1, host.count("POST /receive"));
    }

    /**
     * Clients of an ordered class state the ordering key in the path. Only one message per key is in flight, also after
     * a restart; messages with other keys are not delayed.
     */
    @Test
    void messagesOfOneOrderingKeyStayInOrderAcrossARestart() throws IOException {
        relay.start();
        for (String id : List.of("l1", "l2", "l3")) {
            assertEquals(202, submitOrdered(id, "/api/line-a"));
        }
        assertEquals(202, submitOrdered("other", "/api/line-b"));
        await(() -> host.requests.size() == 2);
        assertEquals(
                List.of("l1", "other"),
                host.requests.stream().map(ScriptedPeer.Request::id).sorted().toList());
        relay.kill();
        host.answer(
                request -> request.id().equals("l2") && host.count("POST") == 3 ? ScriptedPeer.SILENCE : status(200));
        relay.start();
        await(() -> host.count("POST") == 3);
        assertEquals(
                "l2", host.requests.get(2).id(), "the first of its key may have been executed and must not be retried");
        assertTrue(relay.hasNotified("l1", "dead") && relay.hasNotified("other", "dead"));
        assertEquals(202, relay.submit("s1", "safe", 7));
        await(() -> host.count("POST") == 4);
        assertEquals("s1", host.requests.get(3).id(), "the third message waits for the second");
        assertEquals(404, submitOrdered("x1", "/api/"));
        assertEquals(400, submitOrdered("x2", "/api/" + "x".repeat(201)));
        assertEquals(404, submitOrdered("x3", "/apis"));
    }

    /** The next message of an ordering key waits until the completion is acknowledged, also across a restart. */
    @Test
    void nextMessageOfAnOrderingKeyWaitsUntilTheCompletionIsAcknowledged() throws IOException {
        discovery.answer(request -> ScriptedPeer.SILENCE);
        relay.start();
        assertEquals(202, submitOrdered("l1", "/api/line-a"));
        await(() -> host.requests.size() == 1);
        host.answer(request -> status(200));
        assertEquals(202, submitOrdered("l2", "/api/line-a"));
        host.connections.get(0).close();
        await(() -> relay.hasNotified("l1", "dead"));
        assertEquals(202, relay.submit("s1", "safe", 7));
        await(() -> host.count("POST") == 2 && relay.openJournalMessages().size() == 2);
        relay.kill();
        discovery.requests.clear();
        relay.start();
        await(() -> relay.hasNotified("l1", "dead"));
        assertEquals(202, relay.submit("s2", "safe", 7));
        await(() -> host.count("POST") == 3);
        assertEquals(
                List.of("l1", "s1", "s2"),
                host.requests.stream().map(ScriptedPeer.Request::id).toList());
        discovery.answer(request -> request.line().startsWith("POST") ? status(204) : ScriptedPeer.SILENCE);
        await(() -> host.count("POST") == 4);
        assertEquals("l2", host.requests.get(3).id());
    }

    private int submitOrdered(String id, String path) throws IOException {
        return relay.exchange(RelayProcess.message(id, "ordered", 7, 20_000, "hello")
                        .replace("POST /api ", "POST " + path + " ")
                        .replace("Idempotency-Key: key-" + id + "\r\n", ""))
                .status();
    }

    @Test
    void nonIdempotentMessageWithUnknownOutcomeIsNeitherSentNorRejected() throws IOException {
        killDuringAttempt("u1", "unsafe");
        await(() -> relay.hasNotified("u1", "dead"));
        assertEquals(1, host.count("POST /receive"));
        assertFalse(relay.hasNotified("u1", "bounced"));
    }

    @Test
    void nonIdempotentMessageThatWasNotExecutedIsResumed() throws IOException {
        host.answer(request -> status(503, "X-Come-Back-Ms: 60000"));
        assertEquals(202, relay.start().submit("u2", "unsafe", 7));
        await(() -> relay.openJournalMessages().stream()
                .flatMap(m -> m.attempts().stream())
                .anyMatch(a -> a.outcome() == AttemptOutcome.REJECTED));
        relay.kill();
        host.answer(request -> status(200));
        relay.start();
        await(() -> host.requests.size() == 2);
        assertEquals("u2", host.requests.get(1).id());
    }

    @Test
    void deliveredMessageIsNotResumed() throws IOException {
        host.answer(request -> status(200));
        relay.start().submit("d1", "unsafe", 7);
        await(() -> host.requests.size() == 1 && relay.openJournalMessages().isEmpty());
        host.answer(request -> ScriptedPeer.SILENCE);
        relay.submit("d2", "safe", 7);
        await(() -> host.requests.size() == 2);
        relay.kill();
        host.answer(request -> status(200));
        relay.start();
        await(() -> host.requests.size() == 3);
        assertEquals("d2", host.requests.get(2).id());
        assertFalse(relay.hasNotified("d1", "dead"));
    }

    private boolean isAccepted(String id, int budgetMillis) {
        try {
            return relay.submit(id, "safe", 7, budgetMillis, "x") == 202;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void downtimeCountsTowardsTheDeadline() throws IOException {
        relay.start();
        // A relay that starts with little CPU rejects messages, which a client repeats.
        await(() -> isAccepted("t1", 400));
        relay.kill();
        relay.start();
        await(() -> relay.hasNotified("t1", "bounced") || relay.hasNotified("t1", "dead"));
    }

    @Test
    void destinationMissingFromTheCachedListIsRejectedUntilDiscoveryResponds() throws IOException {
        assertEquals(503, relay.start().submit("x1", "safe", 99));
        assertEquals(0, host.requests.size());
    }

    @Test
    void unacknowledgedCompletionIsSentAgain() throws IOException {
        discovery.answer(request -> ScriptedPeer.SILENCE);
        host.answer(request -> ScriptedPeer.CLOSE);
        relay.start().submit("n1", "unsafe", 7);
        await(() -> relay.hasNotified("n1", "dead"));
        relay.kill();
        discovery.requests.clear();
        discovery.answer(request -> request.line().startsWith("POST") ? status(204) : ScriptedPeer.SILENCE);
        relay.start();
        await(() -> relay.hasNotified("n1", "dead"));
        assertEquals(1, host.requests.size());
    }

    @Test
    void gracefulShutdownRespondsToRequestsAndLeavesOpenMessagesInTheJournal()
            throws IOException, InterruptedException {
        relay.start();
        try (Socket idle = relay.connect();
                Socket busy = relay.connect()) {
            String readyRequest = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
            assertEquals(200, RelayProcess.exchange(idle, readyRequest).status());
            String message = RelayProcess.message("p1", "safe", 7, 20_000, "hello");
            busy.getOutputStream()
                    .write(message.substring(0, message.length() - 2).getBytes());
            relay.terminate();
            // A second SIGTERM and a SIGHUP must not disturb the shutdown.
            relay.terminate();
            relay.sendSighup();
            assertEquals(202, relay.submit("p2", "safe", 7), "a new connection is served");
            assertEquals(-1, idle.getInputStream().read(), "the idle connection is closed");
            RelayProcess.Response response = RelayProcess.exchange(busy, message.substring(message.length() - 2));
            assertEquals(202, response.status(), "a request that was partly received gets a response");
            assertTrue(response.head().toLowerCase().contains("connection: close"), response.head());
        }
        assertTrue(relay.hasEnded());
        host.answer(request -> status(200));
        int requestsBefore = host.requests.size();
        relay.start();
        await(() -> host.requests.stream()
                        .skip(requestsBefore)
                        .map(ScriptedPeer.Request::id)
                        .distinct()
                        .count()
                == 2);
    }
}
