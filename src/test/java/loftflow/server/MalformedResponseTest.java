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

/** Responses of upstreams that are malformed, do not end, or are followed by bytes that do not belong to them. */
class MalformedResponseTest extends RelayTestBase {
    private static final String HUGE = "Content-Length: 3000000000\r\n\r\n" + "x".repeat(100_000);

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.quietDiscovery(), ScriptedPeer.always(status(200)));
        relay.withKnownEndpoint("m1", 8, "many", host);
    }

    @Test
    void malformedResponseProvesNothing() throws IOException {
        List<String> spoilt = List.of(
                "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n",
                "HTTP/1.1 410 X\r\n" + HUGE,
                "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 504 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 404 X\r\nEndless: " + "x".repeat(20_000),
                "HTTP/1.1 101 X\r\n\r\n",
                "HTTP/1.1 ",
                "noise");
        relay.start();
        for (int i = 0; i < spoilt.size(); i++) {
            String id = "u" + i;
            String text = spoilt.get(i);
            host.answer(request -> text);
            relay.submit(id, "unsafe", 7);
            await(() -> relay.hasNotified(id, "dead"));
            host.answer(request -> status(200));
            int sent = host.requests.size();
            relay.submit("s" + i, "safe", 7);
            await(() ->
                    host.requests.size() > sent && relay.openJournalMessages().isEmpty());
        }
        assertEquals(2 * spoilt.size(), host.requests.size());
    }

    @Test
    void firstLineThatSays200IsTrueForOneMessage() throws IOException {
        List<String> spoilt = List.of(
                "HTTP/1.1 200 X\r\nEndless: " + "x".repeat(20_000),
                "HTTP/1.1 200 X\r\n" + HUGE,
                "HTTP/1.1 200 X\r\nbad\u0000head\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 X\r\nContent-Length: 1, 2\r\n\r\n",
                "HTTP/1.1 200 X\r\nHalf",
                "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 7\r\n\r\n");
        relay.start();
        for (int i = 0; i < spoilt.size(); i++) {
            int sent = i + 1;
            String text = spoilt.get(i);
            host.answer(request -> text);
            relay.submit("u" + i, "unsafe", 7);
            await(() ->
                    host.requests.size() == sent && relay.openJournalMessages().isEmpty());
        }
        assertEquals(0, discovery.count("POST"), "all were delivered");
    }

    @Test
    void batchResponseThatCannotBeReadToItsEndCountsForNone() throws IOException {
        host.answer(request -> request.line().contains("many")
                ? answer(200, "[{\"id\":\"b1\",\"state\":\"busy\"},{\"id\":\"b2\",\"state\":\"busy\"},7]")
                : host.requests.size() == 1 ? status(503, "X-Come-Back-Ms: 500") : ScriptedPeer.SILENCE);
        relay.start().submit("b1", "unsafe", 8);
        await(() -> host.requests.size() == 1);
        relay.submit("b2", "unsafe", 8);
        await(() -> relay.hasNotified("b1", "dead") && relay.hasNotified("b2", "dead"));
        assertEquals(2, host.requests.size());
    }

    /** The messages of a batch were lost: no delivery that the host had answered in full, and no completion either. */
    @Test
    void batchResponseWithAMalformedHeadCountsForNone() throws IOException {
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
                + status(host.requests.size() == 1 ? 503 : 200));
        relay.start().submit("u1", "unsafe", 7);
        await(() -> host.requests.size() == 2 && relay.openJournalMessages().isEmpty());
        assertEquals(1, host.connections.size());
        assertFalse(relay.hasNotified("u1", "dead"));
    }

    @Test
    void bytesAfterAResponseAreNotTakenForTheNextOne() throws IOException {
        relay.start();
        for (String behind : List.of(status(200), "\u0001\u0002" + status(200), "noise\r\n\r\n" + status(200))) {
            host.answer(request -> status(200) + behind);
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
