package loftflow.server;

import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests clients that send malformed requests, exceed a limit or send nothing. */
class BadClientTest extends RelayTestBase {
    private final List<Socket> openSockets = new ArrayList<>();

    @BeforeEach
    void prepare() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(status(200)));
    }

    @AfterEach
    void closeAll() throws IOException {
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = relay.connect();
        openSockets.add(socket);
        return socket;
    }

    /** Returns the next byte, or -1 at the end of the stream or after a reset. */
    private static int read(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read();
        } catch (SocketException e) {
            return -1;
        }
    }

    private static String readToEnd(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        for (int next = read(socket); next >= 0; next = read(socket)) {
            received.append((char) next);
        }
        return received.toString();
    }

    private static boolean isRejection(String response) {
        return response.startsWith("HTTP/1.1 503 ") && response.contains("connection: close\r\n");
    }

    @Test
    void clientThatSendsNothingIsDisconnected() throws IOException {
        relay.start();
        assertEquals(-1, read(connect()));
    }

    /**
     * Every connection is closed. An evicted one receives a rejection, because a request may be on its way; the others
     * receive nothing.
     */
    @Test
    void manySimultaneousConnectionsStayWithinTheDescriptorLimit() throws IOException {
        relay.start();
        relay.pause();
        for (int i = 0; i < 400; i++) {
            connect();
        }
        relay.resume();
        int maxDescriptors = 0;
        int rejections = 0;
        for (Socket socket : openSockets) {
            maxDescriptors = Math.max(maxDescriptors, relay.openDescriptors());
            String received = readToEnd(socket);
            assertTrue(received.isEmpty() || isRejection(received), received);
            rejections += received.isEmpty() ? 0 : 1;
        }
        assertTrue(rejections > 0 && rejections < openSockets.size(), "rejections: " + rejections);
        assertTrue(maxDescriptors <= 256, "open descriptors: " + maxDescriptors);
    }

    @Test
    void relayServesAgainAfterItRanOutOfDescriptors() throws IOException {
        relay.withDescriptorLimit(100).start();
        for (int i = 0; i < 200; i++) {
            connect();
        }
        await(() -> relay.log().contains("listener: accept failed"));
        closeAll();
        assertEquals(202, relay.submit("after", "safe", 7));
        await(() -> host.requests.size() == 1);
    }

    @Test
    void incompleteRequestTimesOutAndItsConnectionIsClosed() throws IOException {
        relay.start();
        for (String incomplete : List.of(
                "POST /api HT",
                RelayProcess.message("h1", "safe", 7, 1000, "hello").replace("hello", "h"))) {
            Socket socket = connect();
            assertEquals(408, RelayProcess.exchange(socket, incomplete).status());
            assertEquals(-1, read(socket));
        }
        Socket socket = connect();
        assertEquals(
                202,
                RelayProcess.exchange(socket, RelayProcess.message("w1", "safe", 7, 20_000, "x"))
                        .status());
        assertEquals(
                408, RelayProcess.exchange(socket, "POST").status(), "a later request on the connection times out too");
    }

    @Test
    void oversizedBodyIsRejectedByItsLengthAndReadToItsEnd() throws IOException {
        relay.start();
        String head = RelayProcess.message("l1", "safe", 7, 1000, "").replace("Length: 0", "Length: 60000000");
        assertEquals(413, RelayProcess.exchange(connect(), head).status());
        Socket socket = connect();
        socket.getOutputStream().write(head.getBytes());
        byte[] chunk = new byte[1_000_000];
        for (int i = 0; i < 60; i++) {
            socket.getOutputStream().write(chunk);
        }
        assertEquals(413, RelayProcess.exchange(socket, "").status());
        assertEquals(-1, read(socket));
    }

    @Test
    void requestWithAnAmbiguousLengthIsRejected() throws IOException {
        relay.start();
        String valid = RelayProcess.message("d1", "safe", 7, 1000, "0\r\n\r\nGET /-/ready HTTP/1.1\r\n\r\n");
        String length = "Content-Length: 30\r\n";
        assertTrue(valid.contains(length), valid);
        for (String lengths : List.of(
                length + "Transfer-Encoding: chunked\r\n",
                length + length,
                "Transfer-Encoding: chunked\r\n" + length,
                "Content-Length: -5\r\n",
                "Content-Length: 0x5\r\n",
                length + "Content-Length: 5\r\n",
                length + "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding: identity\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")) {
            Socket socket = connect();
            assertEquals(
                    400,
                    RelayProcess.exchange(socket, valid.replace(length, lengths))
                            .status(),
                    lengths);
            assertEquals(-1, read(socket), lengths);
        }
        assertEquals(
                505,
                RelayProcess.exchange(connect(), valid.replace("HTTP/1.1", "HTTP/1.0"))
                        .status());
        assertEquals(0, host.count("POST"));
    }

    @Test
    void repeatIsRejectedWhileTheFirstRequestHasNoResponse() throws IOException {
        relay.withRoundPeriod("1").start();
        Socket first = connect();
        first.getOutputStream()
                .write(RelayProcess.message("same", "safe", 7, 20_000, "x").getBytes());
        await(() -> !relay.openJournalMessages().isEmpty());
        assertEquals(500, relay.submit("same", "safe", 7));
        assertEquals(202, RelayProcess.exchange(first, "").status());
        await(() -> host.count("POST") == 1);
    }

    @Test
    void hundredsOfPipelinedRequestsAllReceiveAResponse() throws IOException {
        relay.start();
        Socket socket = connect();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            requests.append(RelayProcess.message("p" + i, i % 2 == 0 ? "safe" : "nosuch", 7, 20_000, "x"));
        }
        assertTrue(RelayProcess.exchange(socket, requests.toString()).status() >= 202);
        for (int i = 1; i < 400; i++) {
            int status = RelayProcess.exchange(socket, "").status();
            assertTrue(i % 2 == 0 ? status == 202 || status == 503 : status == 400, i + ": " + status);
        }
    }

    @Test
    void idleClientsAndIncompleteBodiesLeaveCapacityForOthers() throws IOException {
        relay.start();
        for (int i = 0; i < 300; i++) {
            connect();
        }
        assertEquals(202, relay.submit("r1", "safe", 7));
        String request = RelayProcess.message("b", "safe", 7, 1000, "x".repeat(65_000));
        for (int i = 0; i < 300; i++) {
            try {
                connect()
                        .getOutputStream()
                        .write(request.substring(0, request.length() - 1).getBytes());
            } catch (SocketException e) {
                // The relay has closed this connection because it is at its connection limit.
            }
        }
        assertEquals(202, relay.submit("r2", "safe", 7));
        assertTrue(relay.isAlive());
    }
}
