package loftflow.server;

import static loftflow.fake.ScriptedPeer.answer;
import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests upstream responses that are malformed or incomplete, or that are followed by unexpected bytes. */
class MalformedResponseTest extends RelayTestBase {
    private static final String OVERSIZED_BODY = "Content-Length: 3000000000\r\n\r\n" + "x".repeat(100_000);

    /** Longer than a connection is quiet before it is reused. */
    private static final String REUSE_DELAY_AS_RETRY_AFTER = "X-Come-Back-Ms: 600";

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(status(200)));
        relay.withKnownEndpoint("m1", 8, "many", host);
    }

    @Test
    void malformedResponseProvesNothing() throws IOException {
        List<String> malformedResponses = List.of(
                "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n",
                "HTTP/1.1 410 X\r\n" + OVERSIZED_BODY,
                "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 504 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 404 X\r\nEndless: " + "x".repeat(20_000),
                "HTTP/1.1 101 X\r\n\r\n",
                "HTTP/1.1 ",
                "noise");
        relay.start();
        for (int i = 0; i < malformedResponses.size(); i++) {
            String id = "u" + i;
            String text = malformedResponses.get(i);
            host.answer(request -> text);
            relay.submitUntilAccepted(id, "unsafe", 7);
            await(() -> relay.hasNotified(id, "dead"));
            host.answer(request -> status(200));
            int sent = host.requests.size();
            relay.submitUntilAccepted("s" + i, "safe", 7);
            await(() ->
                    host.requests.size() > sent && relay.openJournalMessages().isEmpty());
        }
        assertEquals(2 * malformedResponses.size(), host.requests.size());
    }

    @Test
    void statusLine200DeliversASingleMessageDespiteAMalformedRest() throws IOException {
        List<String> malformedResponses = List.of(
                "HTTP/1.1 200 X\r\nEndless: " + "x".repeat(20_000),
                "HTTP/1.1 200 X\r\n" + OVERSIZED_BODY,
                "HTTP/1.1 200 X\r\nbad\u0000head\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 X\r\nContent-Length: 1, 2\r\n\r\n",
                "HTTP/1.1 200 X\r\nHalf",
                "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 7\r\n\r\n");
        relay.start();
        for (int i = 0; i < malformedResponses.size(); i++) {
            int sent = i + 1;
            String text = malformedResponses.get(i);
            host.answer(request -> text);
            relay.submit("u" + i, "unsafe", 7);
            await(() ->
                    host.requests.size() == sent && relay.openJournalMessages().isEmpty());
        }
        assertEquals(0, discovery.count("POST"), "all were delivered");
    }

    @Test
    void batchResponseWithAnInvalidElementDeliversNone() throws IOException {
        host.answer(request -> request.line().contains("many")
                ? answer(200, "[{\"id\":\"b1\",\"state\":\"busy\"},{\"id\":\"b2\",\"state\":\"busy\"},7]")
                : host.requests.size() == 1 ? status(503, "X-Come-Back-Ms: 500") : ScriptedPeer.SILENCE);
        relay.start().submit("b1", "unsafe", 8);
        await(() -> host.requests.size() == 1);
        relay.submit("b2", "unsafe", 8);
        await(() -> relay.hasNotified("b1", "dead") && relay.hasNotified("b2", "dead"));
        assertEquals(2, host.requests.size());
    }

    /** Guards against losing messages of a batch: they were neither delivered nor notified after such a response. */
    @Test
    void batchResponseWithAMalformedHeadDeliversNone() throws IOException {
        String body = "[{\"id\":\"b1\",\"state\":\"done\"},{\"id\":\"b2\",\"state\":\"done\"}]";
        host.answer(request -> request.line().contains("many")
                ? answer(200, body, "no colon here")
                : host.requests.size() == 1 ? status(503, "X-Come-Back-Ms: 500") : ScriptedPeer.SILENCE);
        relay.start().submit("b1", "unsafe", 8);
        await(() -> host.requests.size() == 1);
        relay.submit("b2", "unsafe", 8);
        await(() -> relay.hasNotified("b1", "dead") && relay.hasNotified("b2", "dead"));
        assertEquals(2, host.requests.size());
    }

    @Test
    void informationalResponsesBeforeTheFinalOneAreSkipped() throws IOException {
        host.answer(request -> "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n"
                + (host.requests.size() == 1 ? status(503, REUSE_DELAY_AS_RETRY_AFTER) : status(200)));
        relay.start().submit("u1", "safe", 7);
        await(() -> host.requests.size() == 2 && relay.openJournalMessages().isEmpty());
        assertEquals(1, host.connections.size());
        assertFalse(relay.hasNotified("u1", "dead"));
    }

    @Test
    void bytesAfterAResponseAreNotReadAsTheNextResponse() throws IOException {
        relay.start();
        for (String trailing : List.of(status(200), "\u0001\u0002" + status(200), "noise\r\n\r\n" + status(200))) {
            host.answer(request -> status(200) + trailing);
            long sent = host.count("POST");
            relay.submit("first" + sent, "unsafe", 7);
            await(() -> host.count("POST") > sent && relay.openJournalMessages().isEmpty());
            host.answer(request -> request.line().startsWith("POST") ? ScriptedPeer.CLOSE : status(200));
            relay.submit("next" + sent, "unsafe", 7);
            await(() -> relay.hasNotified("next" + sent, "dead"));
        }
        assertTrue(relay.isAlive());
    }
}
