package loftflow.upstream.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import loftflow.engine.Clock;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.fake.ScriptedPeer;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.server.KernelSocketState;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests races between two events during calls to hosts. The event loop or the host is blocked, so that the unfavorable
 * order occurs every time.
 */
@Timeout(60)
class RaceConditionsTest implements UpstreamClient.ResultListener {
    private static final long MILLI_MICROS = 1_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final int SMALL_BUFFER_BYTES = 4096;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Clock clock = Clock.system();
    private final Map<String, AttemptOutcome> outcomes = new ConcurrentHashMap<>();
    private final List<Long> retryAfters = new CopyOnWriteArrayList<>();
    private final CountDownLatch hostMayRespond = new CountDownLatch(1);
    private HttpUpstreamClient client;
    private ScriptedPeer host;
    private int nextMessageNumber;

    @BeforeEach
    void start() throws IOException {
        host = ScriptedPeer.always(ScriptedPeer.status(200));
        client = new HttpUpstreamClient(
                loop,
                clock,
                UpstreamSettings.withMaxBatchSize(4),
                new HttpUpstreamClient.Options(false, 2 * SECOND_MICROS, 4, 0),
                this,
                RaceConditionsTest::createSmallSocket);
        listHost(host.address());
    }

    /** Creates a socket with a small send buffer, so that a write remains incomplete while the peer does not read. */
    private static Channel createSmallSocket() {
        NioSocketChannel channel = new NioSocketChannel();
        channel.config().setSendBufferSize(SMALL_BUFFER_BYTES);
        return channel;
    }

    private void listHost(String address) {
        onLoop(() -> client.onEndpointList(
                EndpointListKind.FULL,
                List.of(new Endpoint(
                        new EndpointEntry("r", 1, "k", "b0", Availability.LISTED, 0), Endpoint.address(address)))));
    }

    @AfterEach
    void end() throws IOException {
        hostMayRespond.countDown();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        host.close();
    }

    private void onLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    private List<UpstreamClient.OutboundAttempt> createAttempts(
            int count, long timeoutMicros, long latestArrivalMicros, int bodyBytes) {
        return IntStream.range(0, count)
                .mapToObj(i -> {
                    Message message = new Message(
                            nextMessageNumber,
                            new Message.Content(
                                    "m" + nextMessageNumber++,
                                    "unsafe",
                                    null,
                                    null,
                                    clock.micros() + 30 * SECOND_MICROS,
                                    1,
                                    new byte[bodyBytes]));
                    return new UpstreamClient.OutboundAttempt(
                            message.addAttempt("r", clock.micros()), timeoutMicros, latestArrivalMicros);
                })
                .toList();
    }

    /** Sends one message with the next id, such as {@code m0}. Must be called on the event loop. */
    private void send(long timeoutMicros) {
        client.send("r", createAttempts(1, timeoutMicros, Long.MAX_VALUE, 5));
    }

    private void sendAndAwait(String id, AttemptOutcome expected) {
        onLoop(() -> send(30 * SECOND_MICROS));
        await(() -> outcomes.containsKey(id));
        assertEquals(expected, outcomes.get(id));
    }

    /** A message that ended while its call waited for a connection was sent all the same. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void messageThatEndsWhileItsCallWaitsForAConnectionIsNotSent(int messagesOfTheCall) {
        onLoop(() -> {
            List<UpstreamClient.OutboundAttempt> attempts =
                    createAttempts(messagesOfTheCall, 30 * SECOND_MICROS, Long.MAX_VALUE, 5);
            client.send("r", attempts);
            attempts.get(0).attempt().message().complete(new Message.Completion(Message.Completion.Kind.FAILED, 0));
        });
        await(() -> outcomes.size() == messagesOfTheCall);
        assertEquals(AttemptOutcome.NOT_SENT, outcomes.get("m0"));
        sendAndAwait("m" + messagesOfTheCall, AttemptOutcome.OK);
        assertTrue(host.requests.stream().noneMatch(call -> call.body().contains("\"m0\"")));
        assertTrue(host.requests.stream().noneMatch(call -> "m0".equals(call.id())));
    }

    /**
     * One message of a batch is abandoned while the call is partly written. It is still sent with the other message and
     * executed, so its outcome must not exclude execution.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void messageAbandonedWhileItsBatchIsWrittenMayHaveRun(boolean isCancelled) throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listHost("127.0.0.1:" + listener.getLocalPort());
            List<UpstreamClient.OutboundAttempt> both = new ArrayList<>(
                    createAttempts(1, isCancelled ? 30 * SECOND_MICROS : 50 * MILLI_MICROS, Long.MAX_VALUE, 20_000));
            both.addAll(createAttempts(1, 30 * SECOND_MICROS, Long.MAX_VALUE, 20_000));
            onLoop(() -> client.send("r", both));
            try (Socket socket = listener.accept()) {
                if (isCancelled) {
                    // Part of the request is sent, and the send buffer is full.
                    assertEquals('P', socket.getInputStream().read());
                    onLoop(() -> client.cancel(both.get(0).attempt()));
                }
                await(() -> outcomes.containsKey("m0"));
                StringBuilder received = new StringBuilder();
                while (!received.toString().endsWith("}]")) {
                    byte[] chunk = new byte[SMALL_BUFFER_BYTES];
                    int bytes = socket.getInputStream().read(chunk);
                    assertTrue(bytes > 0, "the connection was closed before the request was complete");
                    received.append(new String(chunk, 0, bytes, StandardCharsets.ISO_8859_1));
                }
                assertTrue(received.indexOf("\"m0\"") > 0, "the abandoned message was sent with the batch");
                assertEquals(isCancelled ? AttemptOutcome.CANCELLED : AttemptOutcome.TIMEOUT, outcomes.get("m0"));
            }
        }
    }

    /**
     * The host responds while the call is partly written and the send buffer is full. The call has not been executed,
     * and a back-off in the response applies.
     */
    @Test
    void responseBeforeTheRequestIsWrittenEndsTheCallAsNotExecuted() throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listHost("127.0.0.1:" + listener.getLocalPort());
            onLoop(() -> client.send("r", createAttempts(1, 30 * SECOND_MICROS, Long.MAX_VALUE, 60_000)));
            try (Socket socket = listener.accept()) {
                assertEquals('P', socket.getInputStream().read());
                socket.getOutputStream()
                        .write("HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\nContent-Length: 0\r\n\r\n".getBytes());
                await(() -> outcomes.containsKey("m0"));
                assertEquals(AttemptOutcome.CONNECT_FAILED, outcomes.get("m0"));
                assertEquals(List.of(60 * SECOND_MICROS), retryAfters);
                sendAndAwait("m1", AttemptOutcome.NOT_SENT);
            }
        }
    }

    /** A response head requests a back-off, and the rest of the response is truncated or malformed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 9\r\n\r\nhalf",
                "Transfer-Encoding: chunked\r\n\r\nnoise\r\n",
                "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            })
    void retryAfterInAHeadAppliesIfTheRestIsMalformed(String rest) {
        String head = "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\n";
        host.answer(request -> head + rest);
        onLoop(() -> send(30 * SECOND_MICROS));
        await(() -> !retryAfters.isEmpty());
        assertEquals(List.of(60 * SECOND_MICROS), retryAfters);
        sendAndAwait("m1", AttemptOutcome.NOT_SENT);
        await(() -> outcomes.containsKey("m0"));
        assertEquals(AttemptOutcome.ERROR, outcomes.get("m0"), "the message may have been executed");
        sendAndAwait("m2", AttemptOutcome.NOT_SENT);
        assertEquals(1, host.requests.size());
    }

    /** The malformed header line is read before the head is complete. */
    @Test
    void retryAfterInAMalformedHeadThatArrivesInPartsApplies() {
        host.answer(request -> {
            try {
                Socket socket = host.connections.get(0);
                socket.getOutputStream()
                        .write("HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\nno colon here\r\n".getBytes());
                KernelSocketState relay = KernelSocketState.ofPeer(socket);
                await(() -> !relay.hasUnread());
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            return "Content-Length: 0\r\n\r\n";
        });
        sendAndAwait("m0", AttemptOutcome.ERROR);
        assertEquals(List.of(60 * SECOND_MICROS), retryAfters);
    }

    @Test
    void retryAfterOfATruncatedResponseApplies() {
        host.answer(request -> {
            try {
                Socket socket = host.connections.get(0);
                socket.getOutputStream()
                        .write("HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\nContent-Length: 9\r\n\r\n".getBytes());
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            return ScriptedPeer.CLOSE;
        });
        sendAndAwait("m0", AttemptOutcome.RESET);
        assertEquals(List.of(60 * SECOND_MICROS), retryAfters);
        sendAndAwait("m1", AttemptOutcome.NOT_SENT);
    }

    /** A response that is pending in the socket when its call times out applies, including a back-off in it. */
    @ParameterizedTest
    @ValueSource(ints = {200, 429})
    void responsePendingAtTheTimeoutApplies(int status) throws Exception {
        host.answer(request -> {
            awaitLatch(hostMayRespond);
            return ScriptedPeer.status(status, "X-Come-Back-Ms: " + (status == 429 ? 60_000 : 0));
        });
        onLoop(() -> send(300 * MILLI_MICROS));
        await(() -> host.requests.size() == 1);
        loop.execute(() -> {
            // Both timers are due when the event loop runs them. It polls the sockets before, without any response yet.
            loop.schedule(this::releaseHost, 0, TimeUnit.MILLISECONDS);
            RelayProcess.blockThread(400);
        });
        await(() -> outcomes.containsKey("m0"));
        assertEquals(status == 200 ? AttemptOutcome.OK : AttemptOutcome.REJECTED, outcomes.get("m0"));
        assertEquals(status == 200 ? List.of() : List.of(60 * SECOND_MICROS), retryAfters);
    }

    /** A delivered message was sent again by the next process, as this one ended with the response unread. */
    @Test
    void unreadResponseIsReadBeforeTheProcessEnds() {
        host.answer(request -> {
            awaitLatch(hostMayRespond);
            return ScriptedPeer.status(200);
        });
        onLoop(() -> send(30 * SECOND_MICROS));
        await(() -> host.requests.size() == 1);
        onLoop(() -> {
            releaseHost();
            client.readPending();
            assertEquals(Map.of("m0", AttemptOutcome.OK), outcomes);
        });
    }

    private void releaseHost() {
        hostMayRespond.countDown();
        KernelSocketState.ofPeer(host.connections.get(0)).awaitUnread();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * A call that is assigned to an idle connection but not sent does not extend its idle time, which the host measures
     * from the last byte.
     */
    @Test
    void unsentCallDoesNotExtendTheIdleTimeOfItsConnection() {
        sendAndAwait("m0", AttemptOutcome.OK);
        long startNanos = System.nanoTime();
        while (!host.connections.get(0).isClosed() && System.nanoTime() - startNanos < 3_000_000_000L) {
            String id = "m" + nextMessageNumber;
            onLoop(() -> client.send("r", createAttempts(1, 30 * SECOND_MICROS, clock.micros(), 5)));
            await(() -> outcomes.containsKey(id));
        }
        assertTrue(host.connections.get(0).isClosed(), "the connection is closed after its idle timeout of one second");
        assertEquals(1, host.requests.size());
    }

    /**
     * The idle timer of a connection is late because the event loop was blocked. The host may close the connection
     * while the next call is sent.
     */
    @Test
    void connectionPastItsIdleTimeoutIsNotUsedIfItsTimerIsLate() {
        sendAndAwait("m0", AttemptOutcome.OK);
        // Wait for the settle time of the connection.
        RelayProcess.blockThread(5);
        onLoop(() -> {
            RelayProcess.blockThread(1100);
            send(30 * SECOND_MICROS);
        });
        await(() -> outcomes.containsKey("m1"));
        assertEquals(2, host.connections.size());
    }

    /** The end of stream of an idle connection is pending in the socket when the next call is sent. */
    @Test
    void connectionWithAPendingEndOfStreamIsNotUsed() {
        sendAndAwait("m0", AttemptOutcome.OK);
        // Wait for the settle time of the connection.
        RelayProcess.blockThread(5);
        onLoop(() -> {
            KernelSocketState relay = KernelSocketState.ofPeer(host.connections.get(0));
            try {
                host.connections.get(0).close();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            relay.awaitEndOfStream();
            send(30 * SECOND_MICROS);
        });
        await(() -> outcomes.containsKey("m1"));
        assertEquals(AttemptOutcome.OK, outcomes.get("m1"));
        assertEquals(2, host.connections.size());
        assertFalse(outcomes.containsValue(AttemptOutcome.RESET));
    }

    /**
     * The host changes its address, or is removed and listed again, during a back-off. The back-off remains in force,
     * as it belongs to the destination.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void retryAfterAppliesAfterAChangeOfAddress(boolean isRemovedMeanwhile) throws IOException {
        host.answer(request -> ScriptedPeer.status(429, "X-Come-Back-Ms: 60000"));
        sendAndAwait("m0", AttemptOutcome.REJECTED);
        try (ScriptedPeer next = ScriptedPeer.always(ScriptedPeer.status(200))) {
            if (isRemovedMeanwhile) {
                onLoop(() -> client.onEndpointList(EndpointListKind.FULL, List.of()));
            }
            listHost(next.address());
            sendAndAwait("m1", AttemptOutcome.NOT_SENT);
            assertEquals(0, next.requests.size());
        }
    }

    /**
     * A connection is established after its call was abandoned. That call is never sent, and the next one uses the
     * connection.
     */
    @Test
    void connectionOfAnAbandonedCallIsUsedByTheNextCall() {
        List<UpstreamClient.OutboundAttempt> first = createAttempts(1, 30 * SECOND_MICROS, Long.MAX_VALUE, 5);
        onLoop(() -> {
            client.send("r", first);
            client.cancel(first.get(0).attempt());
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, outcomes.get("m0"));
        await(() -> host.connections.size() == 1);
        // Timers run after the sockets are polled, so the client has noticed the connection as well.
        loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
        sendAndAwait("m1", AttemptOutcome.OK);
        assertEquals(
                List.of("m1"),
                host.requests.stream().map(ScriptedPeer.Request::id).toList());
        assertEquals(1, host.connections.size());
    }

    /**
     * The host starts to drain while a call waits for its connection: the call is not sent, the connection is closed.
     */
    @Test
    void callWaitingForAConnectionIsNotSentOnceItsHostDrains() {
        onLoop(() -> {
            send(30 * SECOND_MICROS);
            client.onEndpointList(
                    EndpointListKind.DELTA,
                    List.of(new Endpoint(
                            new EndpointEntry("r", 1, "k", "b0", Availability.DRAINING, 0),
                            Endpoint.address(host.address()))));
        });
        assertEquals(AttemptOutcome.NOT_SENT, outcomes.get("m0"));
        await(() -> host.connections.stream().allMatch(Socket::isClosed));
        assertEquals(0, host.requests.size());
    }

    @Override
    public void onAttemptCompleted(
            Message.Attempt attempt,
            AttemptOutcome outcome,
            boolean isMessageCompleted,
            long retryAfterMicros,
            LimitReport report) {
        outcomes.put(attempt.message().content().messageId(), outcome);
    }

    @Override
    public void onRetryAfter(String route, long retryAfterMicros) {
        retryAfters.add(retryAfterMicros);
    }

    @Override
    public void onOutcomeDisproved(Message.Attempt attempt) {
        throw new AssertionError("unexpected response after the one of "
                + attempt.message().content().messageId());
    }

    @Override
    public void onLateDelivery(Message.Attempt attempt, boolean isCounted) {
        throw new AssertionError("unexpected late response");
    }

    @Override
    public void onProbeCompleted(
            String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport report) {
        throw new AssertionError("unexpected probe result");
    }
}
