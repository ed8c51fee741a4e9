package loftflow.listener.http2;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how streams and connections end: resets, closed windows, unresponsive clients, exhausted buffers, GOAWAY. */
@Timeout(60)
class ConnectionLifecycleTest extends Http2TestBase {
    // ---- resets and lost connections

    /**
     * A request is discarded if its stream ends before its message is journaled. After that, the message is processed
     * although its stream or connection ends.
     */
    @ParameterizedTest
    @CsvSource({
        "HEAD, RESET",
        "HEAD, LOST",
        "HALF, RESET",
        "HALF, LOST",
        "JOURNALED, RESET",
        "JOURNALED, LOST",
        "RESPONDED, RESET",
        "RESPONDED, LOST"
    })
    void journaledMessageIsProcessedAfterItsStreamEnds(String stage, String ending) throws IOException {
        serve(defaultOptions());
        messageAcceptor.acceptsAll = stage.equals("RESPONDED");
        RawHttp2Client client = client();
        int id = client.sendHeaders(RawHttp2Client.message("m").add("content-length", "2"), false);
        if (!stage.equals("HEAD")) {
            client.sendData(id, new byte[1], false);
        }
        boolean isComplete = stage.equals("JOURNALED") || stage.equals("RESPONDED");
        if (isComplete) {
            client.sendData(id, new byte[1], true);
            await(() -> messageAcceptor.messageIds().contains("m"));
        } else {
            await(() -> onLoop(() -> listener.isIdle()) == false);
        }
        if (ending.equals("RESET")) {
            client.reset(id);
            assertEquals(202, sendNextAndAwaitStatus(client));
        } else {
            client.abort();
            await(() -> onLoop(() -> listener.connections().size()) == 0);
        }
        assertEquals(isComplete, messageAcceptor.messageIds().contains("m"));
        assertEquals(Set.of(), messageAcceptor.withdrawn, "no journaled message is withdrawn");
        await(() -> stage.equals("JOURNALED") == messageAcceptor.disconnected.contains("m"));
        assertFalse(onLoop(() -> listener.hasRequestInProgress()));
        if (stage.equals("JOURNALED")) {
            acceptSubmission(0);
            assertFalse(client.statuses.containsKey(id), "the stream is closed");
        }
        assertServes("after");
    }

    private int sendNextAndAwaitStatus(RawHttp2Client client) throws IOException {
        messageAcceptor.acceptsAll = true;
        return client.status(client.send(RawHttp2Client.message("next"), "x"));
    }

    @Test
    void acceptedMessagesAreProcessedAfterTheirConnectionIsLost() throws IOException {
        serve(defaultOptions());
        messageAcceptor.acceptsAll = false;
        RawHttp2Client client = client();
        for (int i = 0; i < 100; i++) {
            client.send(RawHttp2Client.message("m" + i), "x");
        }
        await(() -> messageAcceptor.submissions.size() == 100);
        client.abort();
        await(() -> messageAcceptor.disconnected.size() == 100);
        assertFalse(onLoop(() -> listener.hasRequestInProgress()));
    }

    /** The idle time of a connection before its first message is not deducted from the timeout of the message. */
    @Test
    void idleTimeDoesNotCountAgainstTheDeadline() throws IOException {
        serve(defaultOptions());
        RawHttp2Client client = client();
        long openedAtMicros = clock.micros();
        await(() -> clock.micros() - openedAtMicros > 3 * SECOND_MICROS);
        long sentAtMicros = clock.micros();
        assertEquals(202, client.status(client.send(RawHttp2Client.message("m"), "x")));
        long deductedMicros = sentAtMicros
                + 8 * SECOND_MICROS
                - messageAcceptor.submissions.get(0).message().content().deadlineMicros();
        assertTrue(deductedMicros < 3 * SECOND_MICROS / 2, "microseconds deducted: " + deductedMicros);
    }

    // ---- windows and unresponsive clients

    /** Responses are HEADERS alone, which are not flow-controlled (RFC 9113, section 6.9). */
    @ParameterizedTest
    @ValueSource(strings = {"closed initially", "shrunk while a stream is open", "opened byte by byte"})
    void closedWindowDelaysNoResponse(String window) throws IOException {
        serve(defaultOptions());
        messageAcceptor.acceptsAll = false;
        RawHttp2Client client = client();
        if (!window.startsWith("shrunk")) {
            client.sendFrame(RawHttp2Client.SETTINGS, 0, 0, RawHttp2Client.encodeSetting(4, 0));
        }
        int id = client.send(RawHttp2Client.message("m"), "x");
        await(() -> messageAcceptor.messageIds().contains("m"));
        if (window.startsWith("shrunk")) {
            client.sendFrame(RawHttp2Client.SETTINGS, 0, 0, RawHttp2Client.encodeSetting(4, 1));
        }
        for (int i = 0; window.startsWith("opened") && i < 100; i++) {
            client.sendFrame(RawHttp2Client.WINDOW_UPDATE, 0, id, RawHttp2Client.encodeInt(1));
        }
        acceptSubmission(0);
        assertEquals(202, client.status(id));
        assertEquals(202, sendNextAndAwaitStatus(client));
    }

    @Test
    void connectionOfAClientThatDoesNotReadIsClosedWhileOthersAreServed() throws IOException {
        serve(options(
                4_000,
                8_000,
                1 << 20,
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, 60 * SECOND_MICROS, 0, SECOND_MICROS)));
        RawHttp2Client other = client();
        // Responses fill the small receive buffer of this client, which reads none of them.
        RawHttp2Client unresponsive = new RawHttp2Client("127.0.0.1", port, 4_096);
        clients.add(unresponsive);
        unresponsive.sendPreface();
        unresponsive.await(() -> !unresponsive.streamLimits.isEmpty());
        Thread sender = new Thread(() -> {
            try {
                for (int i = 0; i < 2_000_000; i++) {
                    unresponsive.send(RawHttp2Client.message("d" + i), "x");
                }
            } catch (IOException e) {
                // The relay has closed the connection.
            }
        });
        sender.start();
        int served = 0;
        long connectionsBefore = onLoop(() -> (long) listener.connections().size());
        assertEquals(2, connectionsBefore);
        while (onLoop(() -> listener.connections().size()) == 2) {
            assertEquals(202, other.status(other.send(RawHttp2Client.message("o" + served++), "x")));
        }
        assertTrue(served > 5, "messages served before the close: " + served);
        await(() -> !sender.isAlive());
        assertEquals(202, other.status(other.send(RawHttp2Client.message("last"), "x")));
    }

    // ---- partly received bodies

    @Test
    void bodiesWaitForTheBufferPoolAndASlowConnectionReleasesBytes() throws IOException {
        serve(options(
                100,
                400,
                128 << 10,
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, 60 * SECOND_MICROS, 0, SECOND_MICROS)));
        RawHttp2Client large = client();
        List<Integer> slow = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            slow.add(large.sendHeaders(
                    RawHttp2Client.message("g" + i, "nonsense", null, 7, 8_000).add("content-length", "65536"), false));
        }
        // The shared half of the pool is large enough for one of the bodies, so two of them wait.
        large.await(() -> large.windows.containsKey(slow.get(0)));
        RawHttp2Client small = client();
        int reserved = small.sendHeaders(RawHttp2Client.message("own").add("content-length", "20000"), false);
        send(small, reserved, 20_000);
        assertEquals(202, small.status(reserved), "the reserved bytes of its class are available");
        int shared = small.sendHeaders(
                RawHttp2Client.message("common", "nonsense", null, 7, 8_000).add("content-length", "20000"), false);
        send(small, shared, 20_000);
        assertEquals(202, small.status(shared), "the slow body has released its bytes");
        assertEquals(503, large.status(slow.get(0)));
        assertEquals("1.000", large.retryAfters.get(slow.get(0)));
        // After the read timeout, bodies that wait for a window get 503, and those that have one get 408.
        large.await(() -> large.statuses.size() == 3);
        assertTrue(Set.of(408, 503).containsAll(large.statuses.values()), large.statuses.toString());
        assertEquals(0, onLoop(() -> listener.receiveWindows().allocator().heldBytes()));
    }

    private static void send(RawHttp2Client client, int id, int bytes) throws IOException {
        for (int sent = 0; sent < bytes; sent += 4_000) {
            client.sendWithinWindow(id, new byte[4_000], sent + 4_000 >= bytes);
        }
    }

    @Test
    void interleavedLargeBodiesAllComplete() throws IOException {
        serve(options(
                100,
                400,
                8 << 20,
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, 60 * SECOND_MICROS, 0, SECOND_MICROS)));
        RawHttp2Client client = client();
        List<Integer> ids = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            ids.add(client.sendHeaders(RawHttp2Client.message("m" + i).add("content-length", "40000"), false));
        }
        for (int piece = 0; piece < 10; piece++) {
            for (int id : ids) {
                client.sendWithinWindow(id, new byte[4_000], piece == 9);
            }
        }
        for (int id : ids) {
            assertEquals(202, client.status(id));
        }
        assertEquals(0, onLoop(() -> listener.receiveWindows().allocator().heldBytes()));
    }

    // ---- stream limits

    @Test
    void offerShrinksUnderLoadAndExcessStreamsAreRefused() throws IOException {
        serve(options(
                100,
                150,
                1 << 20,
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, 60 * SECOND_MICROS, 0, SECOND_MICROS)));
        messageAcceptor.acceptsAll = false;
        RawHttp2Client first = client();
        RawHttp2Client second = client();
        for (int i = 0; i < 100; i++) {
            first.send(RawHttp2Client.message("f" + i), "x");
        }
        await(() -> messageAcceptor.submissions.size() == 100);
        List<Integer> ids = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ids.add(second.send(RawHttp2Client.message("s" + i), "x"));
        }
        second.await(() -> second.resets.size() == 50);
        assertEquals(Set.of(REFUSED_STREAM), Set.copyOf(second.resets.values()));
        assertEquals(150, messageAcceptor.submissions.size(), "refused streams were not accepted");
        assertTrue(ids.subList(0, 50).stream().noneMatch(second.resets::containsKey));
        // The refused streams already lower the offer; a high utilization lowers it further.
        messageAcceptor.utilization = 0.95;
        first.await(() -> first.streamLimits.get(first.streamLimits.size() - 1) <= 4);
        messageAcceptor.utilization = 0;
        IntStream.range(0, 150).forEach(this::acceptSubmission);
        first.await(() -> first.streamLimits.get(first.streamLimits.size() - 1) == 100);
        assertEquals(100, first.streamLimits.get(0));
    }

    /** The excess streams of a client that exceeds its offer are refused, and its connection stays open. */
    @Test
    void streamsBeyondTheOfferAreRefusedIndividually() throws IOException {
        serve(options(
                10,
                400,
                1 << 20,
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, 60 * SECOND_MICROS, 0, SECOND_MICROS)));
        messageAcceptor.acceptsAll = false;
        RawHttp2Client client = client();
        for (int i = 0; i < 30; i++) {
            client.send(RawHttp2Client.message("m" + i), "x");
        }
        client.await(() -> client.resets.size() == 20);
        assertEquals(Set.of(REFUSED_STREAM), Set.copyOf(client.resets.values()));
        assertEquals(10, messageAcceptor.submissions.size());
        IntStream.range(0, 10).forEach(this::acceptSubmission);
        client.await(() -> client.statuses.size() == 10);
        assertEquals(202, sendNextAndAwaitStatus(client));
        assertEquals(List.of(), client.goAways);
    }

    // ---- graceful shutdown

    /**
     * If the preface and a request are pending in the socket when the drain starts, the request is answered and GOAWAY
     * is sent.
     */
    @Test
    void pendingStreamOfANewConnectionIsAnsweredDuringTheDrain() throws IOException {
        serve(defaultOptions());
        RawHttp2Client client = clientWithoutPreface();
        await(() -> onLoop(() -> listener.connections().size()) == 1);
        onLoop(() -> {
            sendPrefaceAndMessage(client);
            listener.drain(8 * SECOND_MICROS);
            return null;
        });
        assertAnsweredAndGoAwayReceived(client);
    }

    /** As above, with the connection in the kernel's backlog: the listener is not idle until it has responded. */
    @Test
    void pendingStreamInTheBacklogDelaysTheShutdown() throws IOException {
        serve(defaultOptions());
        RawHttp2Client client = onLoop(() -> {
            listener.drain(8 * SECOND_MICROS);
            RawHttp2Client late = clientWithoutPreface();
            sendPrefaceAndMessage(late);
            listener.readPending();
            assertFalse(listener.isIdle());
            return late;
        });
        assertAnsweredAndGoAwayReceived(client);
    }

    /**
     * As above, at the connection limit: the connection would be evicted, as the relay has read nothing from it yet.
     */
    @Test
    void pendingStreamOfANewConnectionIsAnsweredAtTheConnectionLimit() throws IOException {
        serve(defaultOptions());
        RawHttp2Client client = clientWithoutPreface();
        await(() -> onLoop(() -> listener.connections().size()) == 1);
        for (int i = 1; i < defaultOptions().maxConnections(); i++) {
            clientWithoutPreface();
        }
        await(() ->
                onLoop(() -> listener.connections().size()) == defaultOptions().maxConnections());
        onLoop(() -> {
            sendPrefaceAndMessage(client);
            clientWithoutPreface();
            listener.acceptor().acceptPending();
            return null;
        });
        assertEquals(202, client.status(1));
    }

    private static void sendPrefaceAndMessage(RawHttp2Client client) throws IOException {
        client.sendPreface();
        client.send(RawHttp2Client.message("m"), "x");
        client.awaitReceived();
    }

    private void assertAnsweredAndGoAwayReceived(RawHttp2Client client) throws IOException {
        assertEquals(202, client.status(1));
        client.await(() -> !client.goAways.isEmpty());
        assertEquals(List.of("m"), messageAcceptor.messageIds());
    }

    @Test
    void openStreamsFinishDuringTheDrain() throws IOException {
        serve(defaultOptions());
        messageAcceptor.acceptsAll = false;
        RawHttp2Client client = client();
        List<Integer> ids = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            ids.add(client.send(RawHttp2Client.message("m" + i), "x"));
        }
        await(() -> messageAcceptor.submissions.size() == 100);
        IntStream.range(0, 50).forEach(this::acceptSubmission);
        onLoop(() -> {
            listener.drain(8 * SECOND_MICROS);
            return null;
        });
        // The client reads nothing after the first GOAWAY, so the PING that follows it is not acknowledged.
        client.await(() -> client.goAways.size() == 1);
        assertEquals(Integer.MAX_VALUE, client.goAways.get(0)[0]);
        client.reset(client.sendHeaders(RawHttp2Client.message("half"), false));
        client.await(() -> client.goAways.size() == 2);
        int lastStreamId = client.goAways.get(1)[0];
        assertEquals(201, lastStreamId, "id of the last accepted stream");
        int late = client.send(RawHttp2Client.message("late"), "x");
        IntStream.range(50, 100).forEach(this::acceptSubmission);
        client.awaitEnd();
        ids.forEach(id -> assertEquals(202, client.statuses.get(id), id + " of " + client.statuses.keySet()));
        assertTrue(client.responseCounts.values().stream().allMatch(times -> times == 1));
        assertFalse(client.statuses.containsKey(late));
        assertFalse(messageAcceptor.messageIds().contains("late"), "a stream above the last stream id was accepted");
        await(() -> onLoop(() -> listener.isIdle()));
    }

    @Test
    void streamBetweenTheGoAwaysIsAcceptedAndAnUnresponsiveConnectionIsClosed() throws IOException {
        serve(defaultOptions());
        messageAcceptor.acceptsAll = false;
        RawHttp2Client client = client();
        client.send(RawHttp2Client.message("before"), "x");
        await(() -> messageAcceptor.submissions.size() == 1);
        onLoop(() -> {
            listener.drain(SECOND_MICROS);
            return null;
        });
        client.send(RawHttp2Client.message("between"), "x");
        await(() -> messageAcceptor.messageIds().contains("between"));
        await(() -> onLoop(() -> listener.isIdle()));
        // The streams are still open at the close, and their messages are processed.
        client.awaitEnd();
        await(() -> messageAcceptor.disconnected.equals(Set.of("before", "between")));
        RawHttp2Client fresh = client();
        fresh.awaitEnd();
        assertEquals(NO_ERROR, fresh.lastError(), "a new connection gets GOAWAY at once");
    }

    @Test
    void idleAndOldConnectionsAreShutDownGracefully() throws IOException {
        serve(options(
                100,
                400,
                1 << 20,
                new ConnectionExpiry.TimeLimits(SECOND_MICROS, SECOND_MICROS / 5, SECOND_MICROS, SECOND_MICROS)));
        RawHttp2Client idle = client();
        idle.awaitEnd();
        assertEquals(NO_ERROR, idle.lastError());
        assertEquals(2, idle.goAways.size());
        messageAcceptor.acceptsAll = false;
        RawHttp2Client old = client();
        int id = old.send(RawHttp2Client.message("m"), "x");
        old.await(() -> old.goAways.size() == 2);
        acceptSubmission(0);
        old.awaitEnd();
        assertEquals(202, old.statuses.get(id));
    }
}
