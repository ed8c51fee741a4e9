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

/** Calls to hosts: what is sent, what the answers mean, and what must not be sent. */
@Order(1)
class DeliveryTest extends RelayTestBase {
    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), ScriptedPeer.always(status(200)));
        relay.knows("m1", 8, "many", host);
    }

    @Test
    void messageGoesOnUnchanged() throws IOException {
        String bytes = "\u0000\r\n\u00ff{}";
        assertEquals(202, relay.start().handIn("abc1", "keyed", 7, 20_000, bytes));
        await(() -> host.requests.size() == 1);
        ScriptedPeer.Request call = host.requests.get(0);
        assertEquals("POST /receive HTTP/1.1", call.line());
        assertEquals("abc1", call.id());
        assertEquals("key-abc1", call.headers().get("idempotency-key"));
        assertEquals(bytes, call.body());
        assertTrue(Integer.parseInt(call.headers().get("x-budget-ms")) <= 20_000);
    }

    /**
     * A message that comes before the last answer has been read has a connection of its own, so that more than one may
     * be tried.
     */
    @Test
    void connectionIsUsedAgain() throws IOException {
        relay.start();
        int[] sent = new int[1];
        await(() -> {
            try {
                assertEquals(202, relay.handIn("id" + sent[0]++, "safe", 7));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            await(() -> host.requests.size() == sent[0]);
            return host.connections.size() < sent[0];
        });
    }

    @Test
    void unsafeMessageThatMayHaveRunIsNotSentAgain() throws IOException {
        host.answer(request -> ScriptedPeer.CLOSE);
        assertEquals(202, relay.start().handIn("u1", "unsafe", 7));
        await(() -> relay.noticed("u1", "dead"));
        assertEquals(1, host.count("POST /receive"));
        assertFalse(relay.noticed("u1", "bounced"));
    }

    @Test
    void unsafeMessageThatNeverRanIsSentAgain() throws IOException {
        host.answer(request -> host.count("POST /receive") == 1 ? status(503) : status(200));
        assertEquals(202, relay.start().handIn("u2", "unsafe", 7));
        await(() -> host.count("POST /receive") == 2);
        assertEquals("u2", host.requests.get(1).id());
    }

    @Test
    void connectionThatIsRefusedProvesThatNothingRan() throws IOException {
        // Bound and not listened at: a port that was only given back could be another test's by now.
        try (Socket taken = new Socket()) {
            taken.bind(new InetSocketAddress("127.0.0.1", 0));
            relay.knows("h9", 9, "one", "127.0.0.1:" + taken.getLocalPort());
            assertEquals(202, relay.start().handIn("u3", "unsafe", 9, 1500, "x"));
            await(() -> relay.noticed("u3", "bounced"));
        }
    }

    @Test
    void callThatIsNotAnsweredEndsWithItsTime() throws IOException {
        // A relay that has sent nothing yet may be slow to begin: what it has no time left for it rightly refuses.
        relay.start().handIn("first", "safe", 7);
        await(() -> host.requests.size() == 1);
        host.answer(request -> ScriptedPeer.SILENCE);
        assertEquals(202, relay.handIn("u4", "unsafe", 7, 1500, "x"));
        await(() -> relay.noticed("u4", "dead"));
        assertEquals(2, host.count("POST /receive"));
    }

    @Test
    void messageThatIsOverAtTheHostNeedsNoNotice() throws IOException {
        host.answer(request -> status(410));
        relay.start().handIn("g1", "safe", 7);
        await(() -> host.requests.size() == 1);
        host.answer(request -> ScriptedPeer.SILENCE);
        relay.handIn("g2", "unsafe", 7, 1500, "x");
        await(() -> relay.noticed("g2", "dead"));
        assertFalse(relay.noticed("g1", "dead") || relay.noticed("g1", "bounced"));
    }

    @Test
    void toldWaitIsObeyed() throws IOException {
        host.answer(request -> host.requests.size() == 1 ? status(429, "X-Come-Back-Ms: 1200") : status(200));
        relay.start().handIn("w1", "safe", 7);
        await(() -> host.requests.size() == 1);
        relay.handIn("w2", "safe", 7);
        await(() -> host.requests.size() == 3);
        long gap = host.requests.get(1).at() - host.requests.get(0).at();
        assertTrue(gap >= TimeUnit.MILLISECONDS.toNanos(1200), "sent after ns: " + gap);
    }

    @Test
    void messagesOfOneRoundTravelInOneCall() throws IOException {
        // The destination refuses the first call, so that what comes meanwhile waits for its pace together.
        host.answer(request -> request.line().contains("many")
                ? answer(200, "[{\"id\":\"b1\",\"state\":\"done\"},{\"id\":\"b2\",\"state\":\"failed\"}]")
                : host.requests.size() == 1 ? status(503, "X-Come-Back-Ms: 500") : ScriptedPeer.SILENCE);
        relay.start().handIn("b1", "unsafe", 8);
        await(() -> host.requests.size() == 1);
        relay.handIn("b2", "unsafe", 8);
        await(() -> relay.noticed("b2", "dead"));
        ScriptedPeer.Request call = host.requests.get(1);
        assertEquals("POST /receive-many HTTP/1.1", call.line());
        assertTrue(call.body().contains("\"id\":\"b1\",\"key\":\"key-b1\",\"body\":\"aGVsbG8=\""), call.body());
        assertFalse(relay.noticed("b1", "dead"));
    }

    @Test
    void answerAfterTheTimeOfOneOfItsMessagesDeliversNone() throws IOException {
        // The host answers as soon as the first message is over, and claims to have delivered both.
        host.answer(request -> {
            if (!request.line().contains("many")) {
                return status(503, "X-Come-Back-Ms: 500");
            }
            await(() -> relay.noticed("short", "dead"));
            return answer(200, "[{\"id\":\"short\",\"state\":\"done\"},{\"id\":\"long\",\"state\":\"done\"}]");
        });
        relay.start().handIn("short", "unsafe", 8, 4000, "x");
        await(() -> host.requests.size() == 1);
        relay.handIn("long", "unsafe", 8);
        await(() -> relay.noticed("long", "dead"));
        ScriptedPeer.Request call = host.requests.get(1);
        assertTrue(call.body().contains("\"id\":\"long\""), call.body());
        assertTrue(Integer.parseInt(call.headers().get("x-budget-ms")) <= 4000);
    }

    @Test
    void idleConnectionsAreNotTrustedAfterABreak() throws IOException {
        host.answer(request -> request.id().startsWith("slow") ? ScriptedPeer.SILENCE : status(200));
        relay.start();
        relay.handIn("slow", "safe", 7);
        await(() -> host.requests.size() == 1);
        relay.handIn("quick", "safe", 7);
        await(() -> host.requests.size() == 2);
        assertEquals(2, host.connections.size());
        host.answer(request -> status(200));
        host.connections.get(0).close();
        await(() -> host.requests.size() == 3);
        assertEquals("slow", host.requests.get(2).id());
        assertEquals(3, host.connections.size());
    }

    @Test
    void answerThatMakesNoSenseIsSurvived() throws IOException {
        host.answer(request -> "\u0001\u0002 nonsense\r\n\r\n");
        relay.start().handIn("n1", "unsafe", 7);
        await(() -> relay.noticed("n1", "dead"));
        host.answer(request -> status(200, "X-Load-Report: TEXT x0=?, =, x1=1e999"));
        relay.handIn("n2", "safe", 7);
        await(() -> host.requests.stream().anyMatch(r -> "n2".equals(r.id())));
        assertTrue(relay.isAlive());
    }

    /**
     * Its request and its end both lie unread as the relay has the CPU again, and any round that was due by then is
     * past due. What
     * has lain there too long is refused, and its client comes again: that is not what is tested.
     */
    @Test
    void clientThatLeavesBeforeItsAnswerIsForgotten() throws IOException {
        relay.period("0.1").start().handIn("first", "safe", 7);
        await(() -> host.requests.size() == 1 && relay.journaled().isEmpty());
        relay.pause();
        long paused = System.nanoTime();
        Socket socket = relay.connect();
        KernelSocketState far = KernelSocketState.beyond(socket);
        socket.getOutputStream()
                .write(RelayProcess.message("left", "safe", 7, 20_000, "hello").getBytes());
        socket.close();
        far.awaitEnd();
        await(() -> System.nanoTime() - paused > TimeUnit.MILLISECONDS.toNanos(100));
        relay.goOn();
        int status;
        do {
            status = relay.handIn("stayed", "safe", 7);
        } while (status == 503);
        assertEquals(202, status);
        await(() -> host.requests.size() == 2 && relay.journaled().isEmpty());
        assertEquals("stayed", host.requests.get(1).id());
    }

    @Test
    void answerThatNeverEndsDeliversAndHoldsUpNothing() throws IOException {
        host.answer(request -> "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n");
        relay.start().handIn("e1", "unsafe", 7);
        await(() -> host.requests.size() == 1 && relay.journaled().isEmpty());
        host.answer(request -> status(200));
        relay.handIn("e2", "unsafe", 7);
        await(() -> host.requests.size() == 2 && relay.journaled().isEmpty());
        assertEquals(2, host.connections.size());
        assertFalse(relay.noticed("e1", "dead"));
    }

    @Test
    void deliveredMessagesAreNotHeldInMemory() throws IOException {
        relay.start();
        String body = "x".repeat(64 << 10);
        try (Socket socket = relay.connect()) {
            for (int i = 0; i < 500; i++) {
                String message = RelayProcess.message("big" + i, "safe", 7, 999_999_999, body);
                assertEquals(202, RelayProcess.exchange(socket, message).status());
                String id = "big" + i;
                await(() -> host.requests.stream().anyMatch(r -> id.equals(r.id())));
                host.requests.clear();
            }
        }
        assertTrue(relay.isAlive());
    }

    @Test
    void requestThatIsCutOffIsNotTakenOn() throws IOException {
        relay.start();
        Socket socket = relay.connect();
        socket.setSoLinger(true, 0);
        socket.getOutputStream()
                .write(RelayProcess.message("half", "safe", 7, 20_000, "hello")
                        .replace("Content-Length: 5", "Content-Length: 9")
                        .getBytes());
        socket.close();
        assertEquals(202, relay.handIn("next", "safe", 7));
        await(() -> host.requests.size() == 1);
        assertEquals("next", host.requests.get(0).id());
    }
}
