package loftflow.server;

import static loftflow.fake.ScriptedPeer.answer;
import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;

/** Tests calls to upstreams: their content, the effect of each response, and calls that must not be sent. */
@Order(1)
class DeliveryTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(status(200)));
        relay.withKnownEndpoint("m1", 8, "many", host);
    }

    @Test
    void messageIsForwardedUnchanged() throws IOException {
        String bytes = "\u0000\r\n\u00ff{}";
        assertEquals(202, relay.start().submit("abc1", "keyed", 7, 20_000, bytes));
        await(() -> host.requests.size() == 1);
        ScriptedPeer.Request call = host.requests.get(0);
        assertEquals("POST /receive HTTP/1.1", call.line());
        assertEquals("abc1", call.id());
        assertEquals("key-abc1", call.headers().get("idempotency-key"));
        assertEquals(bytes, call.body());
        assertTrue(Integer.parseInt(call.headers().get("x-budget-ms")) <= 20_000);
    }

    /**
     * A message that is sent before the relay has read the previous response opens another connection, so that a
     * connection may be reused only after several messages.
     */
    @Test
    void connectionIsReused() throws IOException {
        relay.start();
        int[] sent = new int[1];
        await(() -> {
            try {
                assertEquals(202, relay.submit("id" + sent[0]++, "safe", 7));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            await(() -> host.requests.size() == sent[0]);
            return host.connections.size() < sent[0];
        });
    }

    @Test
    void nonIdempotentMessageThatMayHaveBeenExecutedIsNotRetried() throws IOException {
        host.answer(request -> ScriptedPeer.CLOSE);
        assertEquals(202, relay.start().submit("u1", "unsafe", 7));
        await(() -> relay.hasNotified("u1", "dead"));
        assertEquals(1, host.count("POST /receive"));
        assertFalse(relay.hasNotified("u1", "bounced"));
    }

    @Test
    void nonIdempotentMessageThatWasNotExecutedIsRetried() throws IOException {
        host.answer(request -> host.count("POST /receive") == 1 ? status(503) : status(200));
        assertEquals(202, relay.start().submit("u2", "unsafe", 7));
        await(() -> host.count("POST /receive") == 2);
        assertEquals("u2", host.requests.get(1).id());
    }

    @Test
    void refusedConnectionProvesThatTheMessageWasNotExecuted() throws IOException {
        // The port stays bound without a listener, because another test could listen on a port that was released.
        try (Socket boundSocket = new Socket()) {
            boundSocket.bind(new InetSocketAddress("127.0.0.1", 0));
            relay.withKnownEndpoint("h9", 9, "one", "127.0.0.1:" + boundSocket.getLocalPort());
            assertEquals(202, relay.start().submit("u3", "unsafe", 9, 1500, "x"));
            await(() -> relay.hasNotified("u3", "bounced"));
        }
    }

    @Test
    void callWithoutAResponseEndsAtTheDeadline() throws IOException {
        // The first call of a process may be slow, and a message that has no time left after it is rejected.
        relay.start().submit("first", "safe", 7);
        await(() -> host.requests.size() == 1);
        host.answer(request -> ScriptedPeer.SILENCE);
        assertEquals(202, relay.submit("u4", "unsafe", 7, 1500, "x"));
        await(() -> relay.hasNotified("u4", "dead"));
        assertEquals(2, host.count("POST /receive"));
    }

    @Test
    void messageWithResponse410IsNotNotified() throws IOException {
        host.answer(request -> status(410));
        relay.start().submitUntilAccepted("g1", "safe", 7);
        await(() -> host.requests.size() == 1);
        host.answer(request -> ScriptedPeer.SILENCE);
        relay.submitUntilAccepted("g2", "unsafe", 7, 1500, "x");
        await(() -> relay.hasNotified("g2", "dead"));
        assertFalse(relay.hasNotified("g1", "dead") || relay.hasNotified("g1", "bounced"));
    }

    @Test
    void retryAfterIsObeyed() throws IOException {
        host.answer(request -> host.requests.size() == 1 ? status(429, "X-Come-Back-Ms: 1200") : status(200));
        relay.start().submitUntilAccepted("w1", "safe", 7);
        await(() -> host.requests.size() == 1);
        relay.submitUntilAccepted("w2", "safe", 7);
        await(() -> host.requests.size() == 3);
        long gapNanos = host.requests.get(1).at() - host.requests.get(0).at();
        assertTrue(gapNanos >= TimeUnit.MILLISECONDS.toNanos(1200), "nanoseconds between the calls: " + gapNanos);
    }

    @Test
    void messagesOfOneRoundAreSentInOneBatch() throws IOException {
        // The upstream rejects the first call with Retry-After, so that both messages wait and are sent together.
        host.answer(request -> request.line().contains("many")
                ? answer(200, "[{\"id\":\"b1\",\"state\":\"done\"},{\"id\":\"b2\",\"state\":\"failed\"}]")
                : host.requests.size() == 1 ? status(503, "X-Come-Back-Ms: 500") : ScriptedPeer.SILENCE);
        relay.start().submit("b1", "unsafe", 8);
        await(() -> host.requests.size() == 1);
        relay.submit("b2", "unsafe", 8);
        await(() -> relay.hasNotified("b2", "dead"));
        ScriptedPeer.Request call = host.requests.get(1);
        assertEquals("POST /receive-many HTTP/1.1", call.line());
        assertTrue(call.body().contains("\"id\":\"b1\",\"key\":\"key-b1\",\"body\":\"aGVsbG8=\""), call.body());
        assertFalse(relay.hasNotified("b1", "dead"));
    }

    @Test
    void batchResponseAfterTheDeadlineOfOneMessageEndsTheOtherAsFailed() throws IOException {
        // The upstream responds once the deadline of the first message has passed, and reports both as delivered.
        host.answer(request -> {
            if (!request.line().contains("many")) {
                return status(503, "X-Come-Back-Ms: 500");
            }
            await(() -> relay.hasNotified("short", "dead"));
            return answer(200, "[{\"id\":\"short\",\"state\":\"done\"},{\"id\":\"long\",\"state\":\"done\"}]");
        });
        relay.start().submitUntilAccepted("short", "unsafe", 8, 4000, "x");
        await(() -> host.requests.size() == 1);
        relay.submitUntilAccepted("long", "unsafe", 8);
        await(() -> relay.hasNotified("long", "dead"));
        ScriptedPeer.Request call = host.requests.get(1);
        assertTrue(call.body().contains("\"id\":\"long\""), call.body());
        // The relay waits for as long as the message with the most time left.
        assertTrue(Integer.parseInt(call.headers().get("x-budget-ms")) > 4000, () -> "headers " + call.headers());
        assertEquals(2, host.requests.size(), () -> "calls " + host.requests);
    }

    @Test
    void idleConnectionsAreNotReusedAfterAConnectionLoss() throws IOException {
        host.answer(request -> request.id().startsWith("slow") ? ScriptedPeer.SILENCE : status(200));
        relay.start();
        relay.submit("slow", "safe", 7);
        await(() -> host.requests.size() == 1);
        relay.submit("quick", "safe", 7);
        await(() -> host.requests.size() == 2);
        assertEquals(2, host.connections.size());
        host.answer(request -> status(200));
        host.connections.get(0).close();
        await(() -> host.requests.size() == 3);
        assertEquals("slow", host.requests.get(2).id());
        assertEquals(3, host.connections.size());
    }

    @Test
    void relayServesAfterMalformedResponses() throws IOException {
        host.answer(request -> "\u0001\u0002 nonsense\r\n\r\n");
        relay.start().submit("n1", "unsafe", 7);
        await(() -> relay.hasNotified("n1", "dead"));
        host.answer(request -> status(200, "X-Load-Report: TEXT x0=?, =, x1=1e999"));
        relay.submit("n2", "safe", 7);
        await(() -> host.requests.stream().anyMatch(r -> "n2".equals(r.id())));
        assertTrue(relay.isAlive());
    }

    /**
     * The relay is suspended while a client sends a message and disconnects. When the relay resumes, the message and
     * the end of the stream are unread, and a round is overdue. The second message is repeated while it is rejected,
     * because a relay that was suspended rejects requests that have waited too long.
     */
    @Test
    void messageOfAClientThatDisconnectsBeforeTheResponseIsDropped() throws IOException {
        relay.withRoundPeriod("0.1").start().submitUntilAccepted("first", "safe", 7);
        await(() -> host.requests.size() == 1 && relay.openJournalMessages().isEmpty());
        relay.pause();
        long pausedAtNanos = System.nanoTime();
        Socket socket = relay.connect();
        KernelSocketState relaySocket = KernelSocketState.ofPeer(socket);
        socket.getOutputStream()
                .write(RelayProcess.message("left", "safe", 7, 20_000, "hello").getBytes());
        socket.close();
        relaySocket.awaitEndOfStream();
        await(() -> System.nanoTime() - pausedAtNanos > TimeUnit.MILLISECONDS.toNanos(100));
        relay.resume();
        int status;
        do {
            status = relay.submit("stayed", "safe", 7);
        } while (status == 503);
        assertEquals(202, status);
        await(() -> host.requests.size() == 2 && relay.openJournalMessages().isEmpty());
        assertEquals("stayed", host.requests.get(1).id());
    }

    @Test
    void incompleteResponseBodyDoesNotPreventDelivery() throws IOException {
        host.answer(request -> "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n");
        relay.start().submit("e1", "unsafe", 7);
        await(() -> host.requests.size() == 1 && relay.openJournalMessages().isEmpty());
        host.answer(request -> status(200));
        relay.submit("e2", "unsafe", 7);
        await(() -> host.requests.size() == 2 && relay.openJournalMessages().isEmpty());
        assertEquals(2, host.connections.size());
        assertFalse(relay.hasNotified("e1", "dead"));
    }

    @Test
    void memoryOfDeliveredMessagesIsReleased() throws IOException {
        relay.start();
        String body = "x".repeat(64 << 10);
        try (Socket socket = relay.connect()) {
            for (int i = 0; i < 500; i++) {
                String id = "big" + i;
                String message = RelayProcess.message(id, "safe", 7, 999_999_999, body);
                assertEquals(202, RelayProcess.exchange(socket, message).status());
                await(() -> host.requests.stream().anyMatch(r -> id.equals(r.id())));
                host.requests.clear();
            }
        }
        assertTrue(relay.isAlive());
    }

    @Test
    void truncatedRequestIsNotAccepted() throws IOException {
        relay.start();
        Socket socket = relay.connect();
        socket.setSoLinger(true, 0);
        socket.getOutputStream()
                .write(RelayProcess.message("half", "safe", 7, 20_000, "hello")
                        .replace("Content-Length: 5", "Content-Length: 9")
                        .getBytes());
        socket.close();
        assertEquals(202, relay.submit("next", "safe", 7));
        await(() -> host.requests.size() == 1);
        assertEquals("next", host.requests.get(0).id());
    }
}
