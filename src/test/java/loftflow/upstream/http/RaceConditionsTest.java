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
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.server.KernelSocketState;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Calls to hosts where two events cross; the loop is held, or the host's hand, so that the bad order comes every time.
 */
@Timeout(60)
class RaceConditionsTest implements UpstreamClient.ResultListener {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int SMALL = 4096;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Clock clock = Clock.system();
    private final Map<String, AttemptOutcome> ends = new ConcurrentHashMap<>();
    private final List<Long> waits = new CopyOnWriteArrayList<>();
    private final CountDownLatch gate = new CountDownLatch(1);
    private HttpUpstreamClient client;
    private ScriptedPeer host;
    private int sent;

    @BeforeEach
    void start() throws IOException {
        host = ScriptedPeer.always(ScriptedPeer.status(200));
        client = new HttpUpstreamClient(
                loop,
                clock,
                settings(),
                new HttpUpstreamClient.Options(false, 2 * SECOND, 4, 0),
                this,
                RaceConditionsTest::smallSocket);
        list(host.address());
    }

    private static PolicySettings settings() {
        return new PolicySettings(
                3,
                0,
                1,
                "b0",
                List.of(new RequestClass(
                        "unsafe", Idempotency.NON_IDEMPOTENT, KeyScope.ALL, 0, SECOND, 30 * SECOND, 5, 0.3, false)),
                List.of(),
                List.of(new DestinationKind("k", false, 4)),
                List.of(),
                new RelayLimits(8, 200, 12, true, true, false, false, true, 5 * SECOND),
                new ServiceRules(0, SECOND / 2, 2.5, 2 * SECOND, 0.2, 5 * SECOND, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
    }

    /**
     * A socket whose kernel takes little at once, so that a write stays half done while the other side does not read.
     */
    private static Channel smallSocket() {
        NioSocketChannel channel = new NioSocketChannel();
        channel.config().setSendBufferSize(SMALL);
        return channel;
    }

    private void list(String address) {
        onLoop(() -> client.onEndpointList(
                EndpointListKind.FULL,
                List.of(new Endpoint(
                        new EndpointEntry("r", 1, "k", "b0", Availability.LISTED, 0), Endpoint.address(address)))));
    }

    @AfterEach
    void end() throws IOException {
        gate.countDown();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        host.close();
    }

    private void onLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    private List<UpstreamClient.OutboundAttempt> messages(int count, long timeout, long latest, int bytes) {
        return IntStream.range(0, count)
                .mapToObj(i -> {
                    Message message = new Message(
                            sent,
                            new Message.Content(
                                    "m" + sent++,
                                    "unsafe",
                                    null,
                                    null,
                                    clock.micros() + 30 * SECOND,
                                    1,
                                    new byte[bytes]));
                    return new UpstreamClient.OutboundAttempt(message.addAttempt("r", clock.micros()), timeout, latest);
                })
                .toList();
    }

    /** One message, of a name such as {@code m0}; on the loop. */
    private void send(long timeout) {
        client.send("r", messages(1, timeout, Long.MAX_VALUE, 5));
    }

    private void sendAndAwait(String id, AttemptOutcome expected) {
        onLoop(() -> send(30 * SECOND));
        await(() -> ends.containsKey(id));
        assertEquals(expected, ends.get(id));
    }

    /**
     * One message of a call for two is given up while the call is half written. It goes on leaving with the other one
     * and runs, so
     * it must not end as one that never ran: its class would be sent twice.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void messageThatIsGivenUpWhileItsCallLeavesMayHaveRun(boolean cancelled) throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(SMALL);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            list("127.0.0.1:" + listener.getLocalPort());
            List<UpstreamClient.OutboundAttempt> both =
                    new ArrayList<>(messages(1, cancelled ? 30 * SECOND : 50 * MS, Long.MAX_VALUE, 20_000));
            both.addAll(messages(1, 30 * SECOND, Long.MAX_VALUE, 20_000));
            onLoop(() -> client.send("r", both));
            try (Socket socket = listener.accept()) {
                if (cancelled) {
                    // Something has left, and the kernel takes no more.
                    assertEquals('P', socket.getInputStream().read());
                    onLoop(() -> client.cancel(both.get(0).attempt()));
                }
                await(() -> ends.containsKey("m0"));
                StringBuilder came = new StringBuilder();
                while (!came.toString().endsWith("}]")) {
                    byte[] piece = new byte[SMALL];
                    int bytes = socket.getInputStream().read(piece);
                    assertTrue(bytes > 0, "the call goes on");
                    came.append(new String(piece, 0, bytes, StandardCharsets.ISO_8859_1));
                }
                assertTrue(came.indexOf("\"m0\"") > 0, "it was in the call, and ran");
                assertEquals(cancelled ? AttemptOutcome.CANCELLED : AttemptOutcome.TIMEOUT, ends.get("m0"));
            }
        }
    }

    /**
     * The host answers while the call is half written, and the kernel takes no more: it never ran, and a wait in the
     * answer counts.
     */
    @Test
    void answerBeforeItsCallHasLeftProvesThatItNeverRan() throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(SMALL);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            list("127.0.0.1:" + listener.getLocalPort());
            onLoop(() -> client.send("r", messages(1, 30 * SECOND, Long.MAX_VALUE, 60_000)));
            try (Socket socket = listener.accept()) {
                assertEquals('P', socket.getInputStream().read());
                socket.getOutputStream()
                        .write("HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\nContent-Length: 0\r\n\r\n".getBytes());
                await(() -> ends.containsKey("m0"));
                assertEquals(AttemptOutcome.CONNECT_FAILED, ends.get("m0"));
                assertEquals(List.of(60 * SECOND), waits);
                sendAndAwait("m1", AttemptOutcome.NOT_SENT);
            }
        }
    }

    /** The host tells to wait in a head whose rest is cut off, makes no sense, or never comes. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 9\r\n\r\nhalf",
                "Transfer-Encoding: chunked\r\n\r\nnoise\r\n",
                "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            })
    void waitInAHeadIsHeededWhateverFollows(String rest) {
        String head = "HTTP/1.1 429 X\r\nX-Come-Back-Ms: 60000\r\n";
        host.answer(request -> head + rest);
        onLoop(() -> send(30 * SECOND));
        await(() -> !waits.isEmpty());
        assertEquals(List.of(60 * SECOND), waits);
        sendAndAwait("m1", AttemptOutcome.NOT_SENT);
        await(() -> ends.containsKey("m0"));
        assertEquals(AttemptOutcome.ERROR, ends.get("m0"), "whether it ran is not proven");
        sendAndAwait("m2", AttemptOutcome.NOT_SENT);
        assertEquals(1, host.requests.size());
    }

    @Test
    void waitOfACutAnswerIsHeeded() {
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
        assertEquals(List.of(60 * SECOND), waits);
        sendAndAwait("m1", AttemptOutcome.NOT_SENT);
    }

    /** An answer lies unread when its call's time is up: it counts, and so does a wait told in it. */
    @ParameterizedTest
    @ValueSource(ints = {200, 429})
    void answerThatLiesUnreadWhenItsCallIsGivenUpCounts(int status) throws Exception {
        host.answer(request -> {
            hold(gate);
            return ScriptedPeer.status(status, "X-Come-Back-Ms: " + (status == 429 ? 60_000 : 0));
        });
        onLoop(() -> send(300 * MS));
        await(() -> host.requests.size() == 1);
        loop.execute(() -> {
            // Both timers are due before the loop looks at them; the socket is looked at before, and holds nothing yet.
            loop.schedule(this::letTheHostAnswer, 0, TimeUnit.MILLISECONDS);
            RelayProcess.hold(400);
        });
        await(() -> ends.containsKey("m0"));
        assertEquals(status == 200 ? AttemptOutcome.OK : AttemptOutcome.REJECTED, ends.get("m0"));
        assertEquals(status == 200 ? List.of() : List.of(60 * SECOND), waits);
    }

    private void letTheHostAnswer() {
        gate.countDown();
        KernelSocketState.beyond(host.connections.get(0)).awaitUnread();
    }

    private static void hold(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * A call that takes an idle connection and is not sent in the end does not make it younger: its host goes by bytes.
     */
    @Test
    void connectionThatIsTakenForNothingGrowsNoYounger() {
        sendAndAwait("m0", AttemptOutcome.OK);
        long since = System.nanoTime();
        while (!host.connections.get(0).isClosed() && System.nanoTime() - since < 3_000_000_000L) {
            String id = "m" + sent;
            onLoop(() -> client.send("r", messages(1, 30 * SECOND, clock.micros(), 5)));
            await(() -> ends.containsKey(id));
        }
        assertTrue(host.connections.get(0).isClosed(), "its idle span of a second is over");
        assertEquals(1, host.requests.size());
    }

    /**
     * The timer that retires a connection is late, as the loop had no CPU; the host closes it as the next call leaves.
     */
    @Test
    void connectionThatIsTooOldIsNotTakenThoughItsTimerIsLate() {
        sendAndAwait("m0", AttemptOutcome.OK);
        // The connection has rested from its answer.
        RelayProcess.hold(5);
        onLoop(() -> {
            RelayProcess.hold(1100);
            send(30 * SECOND);
        });
        await(() -> ends.containsKey("m1"));
        assertEquals(2, host.connections.size());
    }

    /** The host's end of an idle connection has come and lies unread when the next call leaves. */
    @Test
    void connectionWhoseEndLiesUnreadIsNotTaken() {
        sendAndAwait("m0", AttemptOutcome.OK);
        // The connection has rested from its answer.
        RelayProcess.hold(5);
        onLoop(() -> {
            KernelSocketState relay = KernelSocketState.beyond(host.connections.get(0));
            try {
                host.connections.get(0).close();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
            relay.awaitEnd();
            send(30 * SECOND);
        });
        await(() -> ends.containsKey("m1"));
        assertEquals(AttemptOutcome.OK, ends.get("m1"));
        assertEquals(2, host.connections.size());
        assertFalse(ends.containsValue(AttemptOutcome.RESET));
    }

    /** The host moves, or is gone and comes back, while a wait runs: the wait is its destination's. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void waitOutlastsAChangeOfAddress(boolean goneMeanwhile) throws IOException {
        host.answer(request -> ScriptedPeer.status(429, "X-Come-Back-Ms: 60000"));
        sendAndAwait("m0", AttemptOutcome.REJECTED);
        try (ScriptedPeer next = ScriptedPeer.always(ScriptedPeer.status(200))) {
            if (goneMeanwhile) {
                onLoop(() -> client.onEndpointList(EndpointListKind.FULL, List.of()));
            }
            list(next.address());
            sendAndAwait("m1", AttemptOutcome.NOT_SENT);
            assertEquals(0, next.requests.size());
        }
    }

    /** A connection comes up after its call was given up: that call never ran, and the next one has the connection. */
    @Test
    void connectionThatComesUpAfterItsCallWasGivenUpIsTheNextOnes() {
        List<UpstreamClient.OutboundAttempt> first = messages(1, 30 * SECOND, Long.MAX_VALUE, 5);
        onLoop(() -> {
            client.send("r", first);
            client.cancel(first.get(0).attempt());
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, ends.get("m0"));
        await(() -> host.connections.size() == 1);
        // A timer runs behind a look at the sockets: the loop has the connection too.
        loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
        sendAndAwait("m1", AttemptOutcome.OK);
        assertEquals(
                List.of("m1"),
                host.requests.stream().map(ScriptedPeer.Request::id).toList());
        assertEquals(1, host.connections.size());
    }

    /**
     * A list that drains the host crosses a call that still connects: it never leaves, and neither does the connection
     * stay.
     */
    @Test
    void callThatConnectsWhileItsHostDrainsNeverLeaves() {
        onLoop(() -> {
            send(30 * SECOND);
            client.onEndpointList(
                    EndpointListKind.DELTA,
                    List.of(new Endpoint(
                            new EndpointEntry("r", 1, "k", "b0", Availability.DRAINING, 0),
                            Endpoint.address(host.address()))));
        });
        assertEquals(AttemptOutcome.NOT_SENT, ends.get("m0"));
        await(() -> host.connections.stream().allMatch(Socket::isClosed));
        assertEquals(0, host.requests.size());
    }

    @Override
    public void onAttemptCompleted(
            Message.Attempt attempt, AttemptOutcome result, boolean over, long wait, LimitReport report) {
        ends.put(attempt.message().content().messageId(), result);
    }

    @Override
    public void onRetryAfter(String route, long wait) {
        waits.add(wait);
    }

    @Override
    public void onLateDelivery(Message.Attempt attempt) {
        throw new AssertionError("no late answers here");
    }

    @Override
    public void onProbeCompleted(String route, AttemptOutcome result, long wait, long elapsed, LimitReport report) {
        throw new AssertionError("no probes here");
    }
}
