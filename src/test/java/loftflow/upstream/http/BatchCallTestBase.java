package loftflow.upstream.http;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
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
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Provides an upstream client with its own event loop, and one host that accepts batches of up to four messages. */
abstract class BatchCallTestBase implements UpstreamClient.ResultListener {
    static final long MILLI_MICROS = 1_000;
    static final long SECOND_MICROS = 1_000_000;

    /** Longer than the settle time of a connection. */
    private static final long SETTLE_MILLIS = 5;

    /** As short as possible, so that a connection is not passed over only because it was used a moment ago. */
    private static final long MIN_REUSE_DELAY_MICROS = 2_000;

    private static final int MAX_BATCH_SIZE = 4;
    /** Outcomes of an attempt that may have been executed but is not known to be delivered. */
    static final Set<AttemptOutcome> UNCERTAIN_OUTCOMES = EnumSet.of(AttemptOutcome.ERROR, AttemptOutcome.RESET);

    /** The outcome that the client reported for an attempt, and whether it reported the message as completed. */
    record Result(AttemptOutcome outcome, boolean isMessageCompleted) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final Clock clock = Clock.system();
    final Map<String, Result> results = new ConcurrentHashMap<>();
    /** Whether the delivery counts of each message that was reported as delivered after its attempt had ended. */
    final Map<String, Boolean> lateDeliveries = new ConcurrentHashMap<>();

    HttpUpstreamClient client;
    ScriptedPeer host;
    /** Whether new connections read one byte at a time, as if each byte arrived in its own segment. */
    volatile boolean readsSingleBytes;

    private int nextMessageNumber;

    @BeforeEach
    void start() throws IOException {
        host = ScriptedPeer.always(ScriptedPeer.SILENCE);
        client = new HttpUpstreamClient(
                loop,
                clock,
                UpstreamSettings.withMaxBatchSize(MAX_BATCH_SIZE),
                new HttpUpstreamClient.Options(false, 2 * SECOND_MICROS, maxConnections(), 0, reuseDelayMicros()),
                this,
                this::createSocket);
        Endpoint endpoint = new Endpoint(
                new EndpointEntry("r", 1, "k", "b0", Availability.LISTED, 0), Endpoint.address(host.address()));
        onLoop(() -> client.onEndpointList(EndpointListKind.FULL, List.of(endpoint)));
    }

    /** Returns how long a connection is quiet after a response before it carries the next call. */
    long reuseDelayMicros() {
        return MIN_REUSE_DELAY_MICROS;
    }

    /** Returns the limit on the client's connections. */
    int maxConnections() {
        return MAX_BATCH_SIZE;
    }

    /** Creates a socket, which reads one byte at a time if {@link #readsSingleBytes} is set. */
    private Channel createSocket() {
        NioSocketChannel channel = new NioSocketChannel();
        if (readsSingleBytes) {
            channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(1).maxMessagesPerRead(1));
        }
        return channel;
    }

    @AfterEach
    void end() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        host.close();
        assertEquals(expectedLateDeliveries(), lateDeliveries.keySet(), "late deliveries");
    }

    /** Returns the ids of the messages that the test expects to be reported as delivered late. */
    Set<String> expectedLateDeliveries() {
        return Set.of();
    }

    void onLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.submit(task).syncUninterruptibly();
        }
    }

    /** Creates an attempt for a message with the next id, such as {@code m0}. */
    UpstreamClient.OutboundAttempt createAttempt(long timeoutMicros, long deadlineMicros) {
        Message.Content content =
                new Message.Content("m" + nextMessageNumber, "unsafe", null, null, deadlineMicros, 1, new byte[5]);
        Message message = new Message(nextMessageNumber, content);
        nextMessageNumber++;
        return new UpstreamClient.OutboundAttempt(
                message.addAttempt("r", clock.micros()), timeoutMicros, Long.MAX_VALUE);
    }

    /** Sends messages with the next ids in one call, and returns the ids. */
    List<String> send(int count, long timeoutMicros, long deadlineMicros) {
        List<UpstreamClient.OutboundAttempt> attempts = Stream.generate(
                        () -> createAttempt(timeoutMicros, deadlineMicros))
                .limit(count)
                .toList();
        onLoop(() -> client.send("r", attempts));
        return attempts.stream()
                .map(outbound -> outbound.attempt().message().content().messageId())
                .toList();
    }

    /** Sends messages that may be repeated, with a distant timeout and deadline, in one call. */
    void sendRepeatable(int count) {
        long timeoutMicros = 30 * SECOND_MICROS;
        long deadlineMicros = clock.micros() + timeoutMicros;
        List<UpstreamClient.OutboundAttempt> attempts = Stream.generate(
                        () -> createAttempt(timeoutMicros, deadlineMicros).attempt())
                .limit(count)
                .map(attempt -> new UpstreamClient.OutboundAttempt(attempt, timeoutMicros, Long.MAX_VALUE, true, true))
                .toList();
        onLoop(() -> client.send("r", attempts));
    }

    /** Sends messages with a distant timeout and deadline in one call, and waits for the result of each. */
    List<String> sendAndAwait(int count) {
        List<String> ids = send(count, 30 * SECOND_MICROS, clock.micros() + 30 * SECOND_MICROS);
        await(() -> results.keySet().containsAll(ids));
        return ids;
    }

    /** Returns the body of a batch response that reports the messages from {@code m<first>} on as delivered. */
    static String bodyReportingDelivered(int first, int count) {
        return IntStream.range(first, first + count)
                .mapToObj(i -> "{\"id\":\"m" + i + "\",\"state\":\"done\"}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    /**
     * Returns a well-formed response that reports as delivered the message of a single call, or m2 and m3 of a batch.
     */
    static String respondWithAllDelivered(ScriptedPeer.Request request) {
        return request.line().contains("many")
                ? ScriptedPeer.answer(200, bodyReportingDelivered(2, 2))
                : ScriptedPeer.answer(200, "");
    }

    /** Returns the connection that the host accepted last. */
    Socket latestConnection() {
        return host.connections.get(host.connections.size() - 1);
    }

    /** Writes bytes to the connection that the host accepted last. */
    void write(String bytes) {
        try {
            latestConnection().getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Makes the connection that the host accepted last be reset when the host closes it. */
    void resetLatestConnectionOnClose() {
        try {
            latestConnection().setSoLinger(true, 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends m0 and m1 in one call and lets the host respond as given. */
    void sendBatchOfTwo(Function<ScriptedPeer.Request, String> response) {
        host.answer(response);
        sendAndAwait(2);
        assertEquals(1, host.requests.size(), "one call");
        assertTrue(host.requests.get(0).line().contains("many"));
    }

    /** Asserts that m0 and m1 may have been executed but are not completed, and that their connection is not reused. */
    void assertExecutionUncertain() {
        for (String id : List.of("m0", "m1")) {
            Result result = results.get(id);
            assertFalse(result.isMessageCompleted(), id + " is not known to be delivered, but ended as " + result);
            assertTrue(
                    UNCERTAIN_OUTCOMES.contains(result.outcome()),
                    id + " may have been executed, but ended as " + result);
        }
        assertConnectionIsNotReused();
    }

    void assertDelivered() {
        for (String id : List.of("m0", "m1")) {
            assertEquals(new Result(AttemptOutcome.OK, true), results.get(id), id);
        }
    }

    /** Waits for the settle time after a response, during which the connection is not reused. */
    static void awaitSettled() {
        RelayProcess.blockThread(SETTLE_MILLIS);
    }

    /** Asserts that the client closes the first connection and sends the next call on another one. */
    void assertConnectionIsNotReused() {
        awaitSettled();
        readsSingleBytes = false;
        host.answer(BatchCallTestBase::respondWithAllDelivered);
        sendAndAwait(2);
        assertEquals(2, host.connections.size(), "connections");
        await(() -> host.connections.get(0).isClosed());
        assertEquals(new Result(AttemptOutcome.OK, true), results.get("m2"));
        assertEquals(new Result(AttemptOutcome.OK, true), results.get("m3"));
    }

    @Override
    public void onAttemptCompleted(
            Message.Attempt attempt,
            AttemptOutcome outcome,
            boolean isMessageCompleted,
            long retryAfterMicros,
            LimitReport report) {
        Result earlier = results.put(attempt.message().content().messageId(), new Result(outcome, isMessageCompleted));
        assertEquals(null, earlier, "earlier result of the attempt");
    }

    @Override
    public void onRetryAfter(String route, long retryAfterMicros) {
        throw new AssertionError("unexpected back-off");
    }

    @Override
    public void onOutcomeDisproved(Message.Attempt attempt) {
        throw new AssertionError("unexpected response after the one of "
                + attempt.message().content().messageId());
    }

    @Override
    public void onLateDelivery(Message.Attempt attempt, boolean isCounted) {
        lateDeliveries.put(attempt.message().content().messageId(), isCounted);
    }

    @Override
    public void onProbeCompleted(
            String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport report) {
        throw new AssertionError("unexpected probe result");
    }
}
