package loftflow.server;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Message;
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
 * Tests race conditions between client requests and a graceful shutdown or the following start. The tests block the
 * event loop where necessary to force the critical order of events.
 */
@Timeout(60)
class ShutdownTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long ROUND_MILLIS = 5;
    private static final int MAX_CONNECTIONS = 8;
    private static final String READY_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    @TempDir
    Path folder;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    /** Advances on request only, so that no message counts as late when class loading delays the event loop. */
    private final AtomicLong nowMicros = new AtomicLong(1_000_000 * SECOND_MICROS);

    private final Clock clock = nowMicros::get;

    private final List<String> log = new CopyOnWriteArrayList<>();
    private final List<String> notices = new CopyOnWriteArrayList<>();
    private ScriptedPeer host;
    private Journal journal;
    private DeliveryEngine engine;
    private EventLoopLag eventLoopLag;
    private HttpListener listener;
    private int port;

    @BeforeEach
    void start() throws Exception {
        host = ScriptedPeer.always(ScriptedPeer.status(200));
        assemble();
        loop.submit(this::startEngine).sync();
        // Waits until the first round, whose timer is due earlier, has ended, so that the test runs in a later round.
        loop.schedule(() -> {}, 2 * ROUND_MILLIS, TimeUnit.MILLISECONDS).sync();
    }

    /** Creates a relay on the existing files, as a new process does. */
    private void assemble() throws IOException, InterruptedException {
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
        engine.setLogger(log::add);
        eventLoopLag = new EventLoopLag(timers, clock);
        listener = new HttpListener(engine, clock, eventLoopLag, MAX_CONNECTIONS);
        port = ((InetSocketAddress) listener.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
        loop.submit(eventLoopLag::start).sync();
    }

    /** Starts the engine, which resumes the messages in the journal. */
    private void startEngine() {
        engine.start(
                EndpointListKind.FULL,
                1,
                List.of(new Endpoint(
                        new EndpointEntry("h1", 7, "one", "a", Availability.LISTED, 0),
                        Endpoint.address(host.address()))));
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
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        host.close();
        journal.close();
    }

    /** Stops the relay without a graceful shutdown; its files remain. */
    private void kill() throws Exception {
        loop.submit(() -> listener.stopListening()).sync();
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

    private Socket connect() {
        try {
            Socket socket = new Socket("127.0.0.1", port);
            socket.setSoTimeout(10_000);
            return socket;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Opens a connection and exchanges one request, so that the relay has accepted the connection and it is idle. */
    private Socket connectAndUse() throws IOException {
        Socket socket = connect();
        assertEquals(200, RelayProcess.exchange(socket, READY_REQUEST).status());
        return socket;
    }

    private static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static String message(String id) {
        return RelayProcess.message(id, "unsafe", 7, 20_000, "hello");
    }

    /**
     * When the drain begins, a request is unread on a reused connection, on one without an earlier request, or on one
     * that only the kernel has accepted. The request must get a response, which announces the close of the connection.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, false"})
    void requestUnreadAtTheDrainGetsAResponse(boolean isConnected, boolean isReused) throws Exception {
        Socket[] client = {isConnected ? connect() : null};
        if (isReused) {
            assertEquals(200, RelayProcess.exchange(client[0], READY_REQUEST).status());
        } else if (isConnected) {
            try (Socket other = connect()) {
                // Connections are accepted in order: once this one is served, the first one has been accepted.
                assertEquals(200, RelayProcess.exchange(other, READY_REQUEST).status());
            }
        }
        loop.submit(() -> {
                    client[0] = client[0] == null ? connect() : client[0];
                    write(client[0], message("m1"));
                    listener.drain();
                })
                .sync();
        RelayProcess.Response response = RelayProcess.exchange(client[0], "");
        assertEquals(202, response.status());
        assertTrue(response.head().toLowerCase().contains("connection: close"), response.head());
        await(() -> host.requests.size() == 1);
        client[0].close();
    }

    /**
     * Guards against a drain that closes connections while clients send requests on them. A request that arrives right
     * after the drain begins must get a response, which announces the close.
     */
    @Test
    void requestRightAfterTheDrainGetsAResponse() throws Exception {
        try (Socket used = connectAndUse();
                Socket unused = connect()) {
            loop.submit(listener::drain).sync();
            for (Socket client : List.of(used, unused)) {
                RelayProcess.Response response = RelayProcess.exchange(client, message(client == used ? "m1" : "m2"));
                assertEquals(202, response.status());
                assertTrue(response.head().toLowerCase().contains("connection: close"), response.head());
            }
        }
    }

    /**
     * At the connection limit the relay evicts the connection that has been idle longest. If a request is unread on it
     * when the new connection is accepted, the relay evicts the next one instead. A connection without an earlier
     * response gets a rejection, because its first request may be on its way; a connection with one is evicted without
     * a response, but only after it has been idle for two seconds.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestUnreadAtTheConnectionLimitGetsAResponse(boolean isReused) throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            clients.add(isReused ? connectAndUse() : connect());
            loop.submit(listener::readPending).sync();
        }
        if (isReused) {
            advanceClock(2 * SECOND_MICROS);
        }
        loop.submit(() -> {
                    write(clients.get(0), message("m1"));
                    KernelSocketState.ofPeer(clients.get(0)).awaitUnread();
                    clients.add(connect());
                    listener.readPending();
                })
                .sync();
        assertEquals(202, RelayProcess.exchange(clients.get(0), "").status());
        RelayProcess.Response evicted = RelayProcess.exchange(clients.get(1), "");
        assertEquals(isReused ? 0 : 503, evicted.status());
        assertEquals(-1, clients.get(1).getInputStream().read(), "the evicted connection is closed");
        for (Socket client : clients.subList(2, clients.size())) {
            assertEquals(200, RelayProcess.exchange(client, READY_REQUEST).status());
        }
        clients.forEach(ShutdownTest::close);
    }

    /** Advances the clock while nothing is unread, so that no later request counts as late. */
    private void advanceClock(long micros) {
        nowMicros.addAndGet(micros);
        await(() -> eventLoopLag.unreadSinceMicros() == clock.micros());
    }

    /** Clients that received {@code Connection: close} and have not closed yet must not block other clients. */
    @Test
    void connectionsWithAFinalResponseDoNotCountTowardsTheLimit() throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            clients.add(connect());
            String lastRequest = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            assertEquals(200, RelayProcess.exchange(clients.get(i), lastRequest).status());
        }
        clients.add(connectAndUse());
        clients.forEach(ShutdownTest::close);
    }

    /** A request that arrives just before the final idle check is read by it, and the listener is not idle then. */
    @Test
    void requestUnreadAtTheEndOfTheShutdownDelaysIt() throws Exception {
        loop.submit(listener::drain).sync();
        Socket[] client = new Socket[1];
        boolean isIdle = loop.submit(() -> {
                    client[0] = connect();
                    write(client[0], message("m1"));
                    listener.readPending();
                    return listener.isIdle();
                })
                .get();
        assertEquals(false, isIdle);
        assertEquals(202, RelayProcess.exchange(client[0], "").status());
        client[0].close();
    }

    /** Makes the relay read and record a client's message without writing the 202. Runs on the event loop. */
    private void readAndRecord(Socket client) {
        write(client, message("m1"));
        listener.readPending();
        assertEquals(1, journal.openMessages().size(), "open messages in the journal");
    }

    /**
     * The client disconnects after its message was recorded and before the 202 is written, and the round is due in the
     * same iteration of the event loop. No attempt is started. A repeat with the same id is accepted and sent once.
     */
    @Test
    void messageWhoseClientDisconnectsBeforeTheResponseIsNotSentAndMayBeRepeated() throws Exception {
        try (Socket first = connectAndUse();
                Socket second = connectAndUse()) {
            loop.submit(() -> {
                        readAndRecord(first);
                        KernelSocketState relaySocket = KernelSocketState.ofPeer(first);
                        close(first);
                        relaySocket.awaitEndOfStream();
                        RelayProcess.blockThread(20);
                    })
                    .sync();
            await(() -> isJournalEmpty());
            assertEquals(0, host.requests.size());
            assertEquals(
                    202,
                    RelayProcess.exchange(second, message("m1").replace("X-Caller", "X-Again: again\r\nX-Caller"))
                            .status());
            await(() -> host.count("POST /receive") == 1 && isJournalEmpty());
        }
        assertEquals(List.of(), notices);
    }

    /**
     * The client resets the connection right before the 202 is written, after the last read of its socket. No attempt
     * is started.
     */
    @Test
    void messageWhoseResponseCannotBeWrittenIsNotSent() throws Exception {
        try (Socket first = connectAndUse();
                Socket second = connectAndUse()) {
            loop.submit(() -> {
                        readAndRecord(first);
                        // Due before the round and run in the same event-loop iteration: no socket is read in between.
                        loop.schedule(() -> reset(first), 0, TimeUnit.MILLISECONDS);
                        RelayProcess.blockThread(20);
                    })
                    .sync();
            await(() -> isJournalEmpty());
            assertEquals(202, RelayProcess.exchange(second, message("m2")).status());
            await(() -> host.requests.stream().anyMatch(r -> "m2".equals(r.id())));
        }
        assertEquals(
                List.of("m2"),
                host.requests.stream().map(ScriptedPeer.Request::id).toList());
        assertEquals(List.of(), notices);
    }

    private static void reset(Socket socket) {
        KernelSocketState relaySocket = KernelSocketState.ofPeer(socket);
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        relaySocket.awaitReset();
    }

    /** A client repeats a message that is still open. Only one call is sent, and one completion is notified. */
    @Test
    void repeatOfAnOpenMessageIsNotSentAgain() throws Exception {
        host.answer(request -> ScriptedPeer.SILENCE);
        try (Socket client = connect()) {
            assertEquals(202, RelayProcess.exchange(client, message("m1")).status());
            await(() -> host.requests.size() == 1);
            assertEquals(202, RelayProcess.exchange(client, message("m1")).status());
            host.connections.get(0).close();
            await(() -> notices.size() == 1);
            assertEquals(List.of("m1 dead"), notices);
        }
        assertEquals(1, host.count("POST /receive"));
    }

    /** A quiescing relay starts no attempt before its restart, so it rejects messages. */
    @Test
    void messageIsRejectedWhileQuiescing() throws Exception {
        loop.submit(engine::quiesce).sync();
        try (Socket client = connect()) {
            assertEquals(503, RelayProcess.exchange(client, message("m1")).status());
        }
        assertTrue(isJournalEmpty());
    }

    /**
     * A message is read before the relay quiesces, and its round runs afterwards. It is accepted, remains in the
     * journal and is sent once, after the restart.
     */
    @Test
    void messageInTheRoundOfTheQuiesceIsSentAfterTheRestart() throws Exception {
        try (Socket client = connectAndUse()) {
            loop.submit(() -> {
                        write(client, message("m1"));
                        listener.readPending();
                        engine.quiesce();
                    })
                    .sync();
            assertEquals(202, RelayProcess.exchange(client, "").status());
        }
        assertEquals(0, host.requests.size());
        kill();
        // Restarts the relay, kills it before its first round and restarts it again.
        assemble();
        loop.submit(() -> {
                    startEngine();
                    engine.quiesce();
                })
                .sync();
        kill();
        assemble();
        loop.submit(this::startEngine).sync();
        await(() -> isJournalEmpty());
        assertEquals(1, host.count("POST /receive"));
        assertTrue(log.contains("engine: messages resumed count=1 untried=1"), log.toString());
        assertEquals(List.of(), notices);
    }

    /** Messages of a class that was removed from the settings are failed or rejected; others are delivered. */
    @Test
    void messageOfARemovedClassDoesNotAffectOthers() throws Exception {
        kill();
        try (Journal journalBeforeRestart = new Journal(folder, 3 << 20)) {
            for (String requestClass : List.of("gone", "unsafe")) {
                assertTrue(journalBeforeRestart.recordAccepted(new Message(
                        journalBeforeRestart.nextSequenceNumber(),
                        new Message.Content(
                                "m-" + requestClass,
                                requestClass,
                                null,
                                null,
                                clock.micros() + 20 * SECOND_MICROS,
                                7,
                                new byte[0]))));
            }
            Message attempted = new Message(
                    journalBeforeRestart.nextSequenceNumber(),
                    new Message.Content(
                            "m-tried", "gone", null, null, clock.micros() + 20 * SECOND_MICROS, 7, new byte[0]));
            assertTrue(journalBeforeRestart.recordAccepted(attempted)
                    && journalBeforeRestart.recordAttempt(attempted.addAttempt("h1", clock.micros())));
        }
        assemble();
        loop.submit(this::startEngine).sync();
        await(() -> isJournalEmpty());
        assertEquals(
                List.of("m-unsafe"),
                host.requests.stream().map(ScriptedPeer.Request::id).toList());
        assertEquals(List.of("m-gone bounced", "m-tried dead"), notices);
    }
}
