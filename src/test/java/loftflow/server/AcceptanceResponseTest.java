package loftflow.server;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.EventLoopLag;
import loftflow.fake.ScriptedPeer;
import loftflow.journal.Journal;
import loftflow.listener.http.HttpListener;
import loftflow.policy.DefaultDeliveryPolicy;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.upstream.http.HttpUpstreamClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the 202 response to a client that disconnects or stops reading, at each point of the delivery. A message may be
 * withdrawn if no client can know that it was accepted. If a client has read the acceptance, the message must be
 * delivered or its failure must be notified.
 */
@Timeout(60)
class AcceptanceResponseTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long ROUND_MILLIS = 5;
    private static final int MAX_CONNECTIONS = 8;
    private static final int SMALL_BUFFER_BYTES = 4096;
    private static final String READY_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final int READY_RESPONSE_BYTES = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".length();
    private static final int READY_REQUESTS_PER_WRITE = 400;
    /** The responses to so many requests are smaller than the buffer at which the relay stops reading requests. */
    private static final int READY_REQUESTS_PER_SMALL_WRITE = 20;
    /** So many writes less than the kernel has held before are held again. */
    private static final int MARGIN_WRITES = 4;

    @TempDir
    Path folder;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    /** A fixed time, so that no message counts as received late. */
    private final Clock clock = () -> 1_000_000 * SECOND_MICROS;

    private final List<String> notices = new CopyOnWriteArrayList<>();
    private final CountDownLatch hostMayRespond = new CountDownLatch(1);
    private ScriptedPeer host;
    private Journal journal;
    private DeliveryEngine engine;
    private HttpListener listener;
    private int port;

    @BeforeEach
    void start() throws Exception {
        host = ScriptedPeer.always(ScriptedPeer.status(200));
        EventLoopTimers timers = new EventLoopTimers(loop);
        journal = new Journal(folder, 3 << 20);
        PolicySettings settings = settings();
        engine = new DeliveryEngine(
                timers,
                clock,
                settings,
                TimeUnit.MILLISECONDS.toMicros(ROUND_MILLIS),
                journal,
                DefaultDeliveryPolicy::new);
        CompletionNotifier notifier = message -> {
            notices.add(
                    message.content().messageId() + " " + message.completion().result());
            loop.execute(() -> engine.onCompletionAcknowledged(message));
        };
        engine.attach(
                new HttpUpstreamClient(
                        loop, clock, settings, new HttpUpstreamClient.Options(false, 10 * SECOND_MICROS, 8, 0), engine),
                notifier);
        EventLoopLag eventLoopLag = new EventLoopLag(timers, clock);
        listener = new HttpListener(engine, clock, eventLoopLag, MAX_CONNECTIONS);
        port = ((InetSocketAddress) listener.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
        loop.submit(eventLoopLag::start).sync();
        Endpoint endpoint = new Endpoint(
                new EndpointEntry("h1", 7, "one", "a", Availability.LISTED, 0), Endpoint.address(host.address()));
        loop.submit(() -> engine.start(EndpointListKind.FULL, 1, List.of(endpoint)))
                .sync();
        // Waits until the first round, whose timer is due earlier, has ended.
        loop.schedule(() -> {}, 2 * ROUND_MILLIS, TimeUnit.MILLISECONDS).sync();
    }

    private static PolicySettings settings() {
        return new PolicySettings(
                3,
                0,
                1,
                "a",
                List.of(new RequestClass(
                        "unsafe",
                        Idempotency.NON_IDEMPOTENT,
                        KeyScope.ALL,
                        0,
                        SECOND_MICROS,
                        20 * SECOND_MICROS,
                        5,
                        0.3,
                        false)),
                List.of(),
                List.of(new DestinationKind("one", false, 1)),
                List.of(),
                new RelayLimits(8, 200, 12, true, false, false, false, true, SECOND_MICROS),
                new ServiceRules(0, SECOND_MICROS / 2, 2.5, 2 * SECOND_MICROS, 0.2, 5 * SECOND_MICROS, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
    }

    @AfterEach
    void end() throws IOException {
        hostMayRespond.countDown();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        host.close();
        journal.close();
    }

    /** Reads the journal on the event loop, because it is not thread-safe. */
    private boolean isJournalEmpty() {
        try {
            return loop.submit(() -> journal.openMessages().isEmpty()).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    /** Opens a connection and exchanges one request, so that the relay has accepted the connection and it is idle. */
    private Socket connectAndUse() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(10_000);
        assertEquals(200, RelayProcess.exchange(socket, READY_REQUEST).status());
        return socket;
    }

    private static String message(String id) {
        return RelayProcess.message(id, "unsafe", 7, 20_000, "hello");
    }

    private static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Closes a client's connection and, if by a reset, waits until the reset has arrived at the relay's socket. */
    private static void disconnect(Socket client, boolean isReset) {
        KernelSocketState relaySocket = KernelSocketState.ofPeer(client);
        try {
            if (isReset) {
                client.setSoLinger(true, 0);
            }
            client.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        if (isReset) {
            relaySocket.awaitReset();
        }
    }

    /** Makes the host withhold its response to each call until {@link #hostMayRespond} is released. */
    private void holdResponse(String response) {
        host.answer(request -> {
            try {
                hostMayRespond.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            return response;
        });
    }

    /** Waits for two more rounds, so that every attempt that they start has been sent. */
    private void awaitRounds() throws InterruptedException {
        loop.schedule(() -> {}, 4 * ROUND_MILLIS, TimeUnit.MILLISECONDS).sync();
    }

    /** The message is recorded, and the disconnect is read before the round that would write the 202. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectReadBeforeTheResponseWithdrawsTheMessage(boolean isReset) throws Exception {
        Socket client = connectAndUse();
        loop.submit(() -> {
                    write(client, message("m1"));
                    listener.readPending();
                    assertEquals(1, journal.openMessages().size(), "open messages in the journal");
                    disconnect(client, isReset);
                    RelayProcess.blockThread(4 * ROUND_MILLIS);
                })
                .sync();
        await(this::isJournalEmpty);
        awaitRounds();
        assertEquals(0, host.requests.size());
        assertEquals(List.of(), notices);
        assertRepeatIsDelivered("m1");
    }

    /** Checks that the id can be used again: a new message with it is accepted and delivered. */
    private void assertRepeatIsDelivered(String id) throws Exception {
        int requestsBefore = host.requests.size();
        try (Socket client = connectAndUse()) {
            assertEquals(202, RelayProcess.exchange(client, message(id)).status());
            await(() -> host.requests.size() == requestsBefore + 1 && isJournalEmpty());
        }
    }

    /**
     * The client disconnects right before the 202 is written, after the last read of its socket. After a reset the
     * write fails and no attempt is started; after a close the write succeeds, and the message is processed normally.
     */
    @ParameterizedTest
    @CsvSource({"true, 200", "true, 500", "false, 200", "false, 500"})
    void disconnectUnreadBeforeTheResponse(boolean isReset, int status) throws Exception {
        host.answer(request -> ScriptedPeer.status(status));
        Socket client = connectAndUse();
        loop.submit(() -> {
                    write(client, message("m1"));
                    listener.readPending();
                    assertEquals(1, journal.openMessages().size(), "open messages in the journal");
                    // Due before the round and run in the same event-loop iteration: no socket is read in between.
                    loop.schedule(() -> disconnect(client, isReset), 0, TimeUnit.MILLISECONDS);
                    RelayProcess.blockThread(4 * ROUND_MILLIS);
                })
                .sync();
        await(this::isJournalEmpty);
        awaitRounds();
        assertEquals(isReset ? 0 : 1, host.requests.size());
        assertEquals(!isReset && status == 500 ? List.of("m1 dead") : List.of(), notices);
    }

    /** The client reads its 202 and disconnects while the call to the host is in flight. */
    @ParameterizedTest
    @CsvSource({"true, 200", "true, 500", "false, 200", "false, 500"})
    void disconnectAfterTheResponseChangesNothing(boolean isReset, int status) throws Exception {
        holdResponse(ScriptedPeer.status(status));
        Socket client = connectAndUse();
        assertEquals(202, RelayProcess.exchange(client, message("m1")).status());
        await(() -> host.requests.size() == 1);
        disconnect(client, isReset);
        awaitRounds();
        assertFalse(isJournalEmpty(), "the message is still open");
        hostMayRespond.countDown();
        await(this::isJournalEmpty);
        assertEquals(status == 500 ? List.of("m1 dead") : List.of(), notices);
        assertEquals(1, host.requests.size());
    }

    /** The client resets the connection before it reads the 202. The relay can't detect that and must go on. */
    @ParameterizedTest
    @ValueSource(ints = {200, 500})
    void resetWithTheResponseUnreadChangesNothing(int status) throws Exception {
        holdResponse(ScriptedPeer.status(status));
        Socket client = connectAndUse();
        write(client, message("m1"));
        await(() -> host.requests.size() == 1);
        disconnect(client, true);
        awaitRounds();
        hostMayRespond.countDown();
        await(this::isJournalEmpty);
        assertEquals(status == 500 ? List.of("m1 dead") : List.of(), notices);
    }

    /** Sends requests and returns once the relay has read all of them. */
    private static void sendRead(Socket client, String requests) {
        write(client, requests);
        KernelSocketState relaySocket = KernelSocketState.ofPeer(client);
        KernelSocketState clientSocket = KernelSocketState.of(client);
        // Bytes that arrive while the relay uses its socket are unread only once they are acknowledged.
        while (clientSocket.hasUnacknowledged() || relaySocket.hasUnread()) {
            Thread.onSpinWait();
        }
    }

    /** Waits until the relay has read all requests, or has stopped reading as responses are unread. */
    private void awaitPause(Socket client) throws Exception {
        KernelSocketState relaySocket = KernelSocketState.ofPeer(client);
        KernelSocketState clientSocket = KernelSocketState.of(client);
        while (loop.submit(listener::isIdle).get() && (clientSocket.hasUnacknowledged() || relaySocket.hasUnread())) {
            Thread.onSpinWait();
        }
    }

    /**
     * Makes the relay buffer responses that the client does not read, then sends m1, so that its 202 is buffered too.
     */
    private Socket sendBehindUnreadResponses() throws Exception {
        Socket client = connectAndUse();
        int writes = 0;
        while (loop.submit(listener::isIdle).get()) {
            write(client, READY_REQUEST.repeat(READY_REQUESTS_PER_WRITE));
            awaitPause(client);
            writes++;
        }
        client.getInputStream().skipNBytes((long) writes * READY_REQUESTS_PER_WRITE * READY_RESPONSE_BYTES);
        for (int i = 0; i < writes - MARGIN_WRITES; i++) {
            sendRead(client, READY_REQUEST.repeat(READY_REQUESTS_PER_WRITE));
        }
        while (loop.submit(listener::isIdle).get()) {
            sendRead(client, READY_REQUEST.repeat(READY_REQUESTS_PER_SMALL_WRITE));
        }
        write(client, message("m1"));
        await(() -> host.requests.size() == 1);
        assertFalse(loop.submit(listener::isIdle).get(), "the 202 is buffered");
        return client;
    }

    /** Guards against a message that runs twice, as its id comes again once its client has left during the call. */
    @ParameterizedTest
    @ValueSource(ints = {200, 500})
    void idOfAWithdrawnMessageThatMayHaveRunIsNotFree(int status) throws Exception {
        holdResponse(ScriptedPeer.status(status));
        disconnect(sendBehindUnreadResponses(), true);
        await(this::isJournalEmpty);
        assertEquals(500, statusOfRepeat(), "the call is in flight");
        hostMayRespond.countDown();
        awaitRounds();
        assertEquals(List.of(), notices);
        await(this::isIdle);
        assertEquals(500, statusOfRepeat(), "the call has ended");
        awaitRounds();
        assertEquals(1, host.requests.size());
    }

    /** The 202 is still buffered when its client disconnects, and the host then rejects the call in flight. */
    @Test
    void idOfAWithdrawnMessageThatDidNotRunIsFree() throws Exception {
        holdResponse(ScriptedPeer.status(503));
        disconnect(sendBehindUnreadResponses(), true);
        await(this::isJournalEmpty);
        hostMayRespond.countDown();
        await(this::isIdle);
        awaitRounds();
        assertEquals(202, statusOfRepeat(), "a message with the same id is accepted");
    }

    /** The 202 is still buffered when its client disconnects, and the message has ended: its id is not sent again. */
    @ParameterizedTest
    @ValueSource(ints = {200, 500})
    void idOfAnEndedMessageIsNotFreeAfterABufferedResponseFails(int status) throws Exception {
        holdResponse(ScriptedPeer.status(status));
        Socket client = sendBehindUnreadResponses();
        hostMayRespond.countDown();
        await(this::isJournalEmpty);
        disconnect(client, true);
        awaitRounds();
        assertEquals(status == 500 ? List.of("m1 dead") : List.of(), notices);
        await(this::isIdle);
        assertEquals(500, statusOfRepeat(), "a message with the same id fails");
        awaitRounds();
        assertEquals(1, host.requests.size());
    }

    private int statusOfRepeat() throws IOException {
        try (Socket second = connectAndUse()) {
            return RelayProcess.exchange(second, message("m1")).status();
        }
    }

    private boolean isIdle() {
        try {
            return loop.submit(engine::isIdle).get();
        } catch (InterruptedException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    /** The 202 is buffered and read later. */
    @Test
    void bufferedResponseReadLaterWithdrawsNothing() throws Exception {
        holdResponse(ScriptedPeer.status(500));
        Socket client = sendBehindUnreadResponses();
        StringBuilder received = new StringBuilder();
        while (!received.toString().contains(" 202 ")) {
            byte[] chunk = new byte[SMALL_BUFFER_BYTES];
            int bytes = client.getInputStream().read(chunk);
            received.append(new String(chunk, 0, bytes, StandardCharsets.US_ASCII));
            received.delete(0, Math.max(0, received.length() - 2 * SMALL_BUFFER_BYTES));
        }
        hostMayRespond.countDown();
        await(this::isJournalEmpty);
        assertEquals(List.of("m1 dead"), notices);
        client.close();
    }

    /**
     * The client repeats the message on another connection and reads a 202 there. Then the write of the first 202,
     * which is still buffered, fails. The message has been accepted, so its failure must be notified.
     */
    @Test
    void bufferedResponseFailsAfterARepeatWasAccepted() throws Exception {
        holdResponse(ScriptedPeer.status(500));
        Socket client = sendBehindUnreadResponses();
        try (Socket second = connectAndUse()) {
            String repeated = message("m1").replace("X-Caller", "X-Again: again\r\nX-Caller");
            assertEquals(202, RelayProcess.exchange(second, repeated).status());
            disconnect(client, true);
            awaitRounds();
            hostMayRespond.countDown();
            await(this::isJournalEmpty);
            awaitRounds();
            assertEquals(List.of("m1 dead"), notices, "the client of the repeat has read a 202");
        }
    }
}
