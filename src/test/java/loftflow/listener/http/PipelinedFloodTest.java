package loftflow.listener.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests connections on which many requests arrive at once. */
@Timeout(60)
class PipelinedFloodTest extends HttpListenerTestBase {
    /** With the other connection, fewer than the connection limit. */
    private static final int FLOODS = 6;

    private static final int FLOOD_BYTES = 200 << 10;
    /** What one event-loop pass reads of a connection. */
    private static final int MAX_BYTES_PER_PASS = 8 << 10;

    private static final String FLOOD_REQUEST = REQUEST.replace("X-Call-Id: m", "X-Call-Id: f");
    private static final int REQUESTS = FLOOD_BYTES / FLOOD_REQUEST.length();

    @BeforeEach
    void start() throws InterruptedException {
        listen();
    }

    private List<String> submittedIds() {
        synchronized (messageAcceptor.submissions) {
            return messageAcceptor.submissions.stream()
                    .map(submission -> submission.message().content().messageId())
                    .toList();
        }
    }

    /** Guards against a pass of the event loop that answers all requests of some clients, and delays all others. */
    @Test
    void requestsOfManyThatSendThousandsDelayNoOther() throws Exception {
        List<Socket> floods = new ArrayList<>();
        for (int i = 0; i < FLOODS; i++) {
            floods.add(connect());
        }
        Socket other = connect();
        loop.submit(() -> {
                    floods.forEach(client -> sendUnread(client, FLOOD_REQUEST.repeat(REQUESTS)));
                    sendUnread(other);
                })
                .sync();
        assertTrue(readResponse(other).startsWith("http/1.1 202"));
        int before = submittedIds().indexOf("m");
        assertTrue(before <= FLOODS * MAX_BYTES_PER_PASS / FLOOD_REQUEST.length() + FLOODS, "before: " + before);
        for (Socket client : floods) {
            client.close();
        }
        other.close();
    }

    @Test
    void allRequestsOfAFloodAreAnsweredInOrder() throws Exception {
        try (Socket client = connect()) {
            loop.submit(() -> sendUnread(client, FLOOD_REQUEST.repeat(REQUESTS) + REQUEST))
                    .sync();
            for (int i = 0; i <= REQUESTS; i++) {
                assertTrue(readResponse(client).startsWith("http/1.1 202"), "response " + i);
            }
            assertEquals(REQUESTS + 1, submittedIds().size());
            assertEquals("m", submittedIds().get(REQUESTS));
        }
    }
}
