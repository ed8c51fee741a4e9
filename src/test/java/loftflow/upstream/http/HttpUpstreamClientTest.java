package loftflow.upstream.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import loftflow.policy.api.PolicySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the connection limit of the HTTP client and the choice of the connection for a call. */
@Timeout(60)
class HttpUpstreamClientTest implements UpstreamClient.ResultListener {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int MAX_CONNECTIONS = 4;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Clock clock = Clock.system();
    private final List<ScriptedPeer> hosts = new ArrayList<>();
    private final Map<String, List<AttemptOutcome>> outcomes = Collections.synchronizedMap(new HashMap<>());
    private HttpUpstreamClient client;

    @BeforeEach
    void start() throws IOException {
        PolicySettings settings = UpstreamSettings.withMaxBatchSize(1);
        client = new HttpUpstreamClient(
                loop,
                clock,
                settings,
                new HttpUpstreamClient.Options(false, 60 * SECOND_MICROS, MAX_CONNECTIONS, 0),
                this);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            hosts.add(ScriptedPeer.always(ScriptedPeer.status(200)));
            endpoints.add(new Endpoint(
                    new EndpointEntry("r" + i, i, "k", "b0", Availability.LISTED, 0),
                    Endpoint.address(hosts.get(i).address())));
        }
        loop.submit(() -> client.onEndpointList(EndpointListKind.FULL, endpoints))
                .syncUninterruptibly();
    }

    @AfterEach
    void end() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        for (ScriptedPeer host : hosts) {
            host.close();
        }
    }

    /**
     * At the limit, each queued call to another host evicts exactly one idle connection, and no call waits for a
     * connection while there is an idle one.
     */
    @Test
    void eachQueuedCallEvictsOneIdleConnection() throws Exception {
        send(0, MAX_CONNECTIONS);
        await("r0", MAX_CONNECTIONS);
        TimeUnit.MILLISECONDS.sleep(20);
        send(1, 1);
        await("r1", 1);
        assertEquals(MAX_CONNECTIONS, hosts.get(0).connections.size());
        assertEquals(MAX_CONNECTIONS - 1, countOpen(0), "open connections after one eviction");
        send(2, 3 * MAX_CONNECTIONS);
        await("r2", 3 * MAX_CONNECTIONS);
        assertTrue(
                outcomes.values().stream().flatMap(List::stream).allMatch(outcome -> outcome == AttemptOutcome.OK),
                outcomes.toString());
        assertEquals(0, countOpen(0), "open connections after an eviction for each queued call");
        assertTrue(hosts.get(2).connections.size() <= 3 * MAX_CONNECTIONS);
    }

    /** Connections are reused as soon as their settle time is over. */
    @Test
    void connectionsAreReusedOnceTheyHaveSettled() throws Exception {
        for (int i = 1; i <= 40; i++) {
            send(0, 1);
            await("r0", i);
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertTrue(
                hosts.get(0).connections.size() <= 8,
                "connections for 40 calls: " + hosts.get(0).connections.size());
        assertEquals(40, hosts.get(0).count("POST /receive"));
    }

    /**
     * An attempt that still waits for its connection at its latest arrival is not sent, and the next call uses the
     * connection.
     */
    @Test
    void attemptPastItsLatestArrivalEndsAsNotSent() throws Exception {
        send(1, 2, clock.micros());
        await("r1", 2);
        send(1, 1);
        await("r1", 3);
        assertEquals(List.of(AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_SENT, AttemptOutcome.OK), outcomes.get("r1"));
        assertEquals(1, hosts.get(1).count("POST /receive"));
    }

    /**
     * An attempt whose latest arrival is near is sent on a connection that has already carried a call, but not on a new
     * one, on which a handshake may delay it.
     */
    @Test
    void attemptWithANearLatestArrivalIsNotSentOnANewConnection() throws Exception {
        send(1, 1, clock.micros() + 4 * SECOND_MICROS);
        await("r1", 1);
        send(1, 1);
        await("r1", 2);
        TimeUnit.MILLISECONDS.sleep(20);
        send(1, 1, clock.micros() + 4 * SECOND_MICROS);
        await("r1", 3);
        assertEquals(List.of(AttemptOutcome.NOT_SENT, AttemptOutcome.OK, AttemptOutcome.OK), outcomes.get("r1"));
        assertEquals(1, hosts.get(1).connections.size());
    }

    private long countOpen(int host) throws Exception {
        // The host notices the close of a connection only after some time.
        TimeUnit.MILLISECONDS.sleep(50);
        return hosts.get(host).connections.stream()
                .filter(connection -> !connection.isClosed())
                .count();
    }

    private void send(int host, int calls) {
        send(host, calls, Long.MAX_VALUE);
    }

    private void send(int host, int calls, long latestArrivalMicros) {
        loop.submit(() -> client.send(
                        "r" + host,
                        IntStream.range(0, calls)
                                .mapToObj(i -> {
                                    Message message = new Message(
                                            1_000L * host + i,
                                            new Message.Content(
                                                    "m" + host + "-" + i,
                                                    "unsafe",
                                                    null,
                                                    null,
                                                    clock.micros() + 30 * SECOND_MICROS,
                                                    host,
                                                    new byte[0]));
                                    return new UpstreamClient.OutboundAttempt(
                                            message.addAttempt("r" + host, clock.micros()),
                                            30 * SECOND_MICROS,
                                            latestArrivalMicros);
                                })
                                .toList()))
                .syncUninterruptibly();
    }

    private void await(String route, int calls) throws InterruptedException {
        while (outcomes.getOrDefault(route, List.of()).size() < calls) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Override
    public void onAttemptCompleted(
            Message.Attempt attempt,
            AttemptOutcome outcome,
            boolean isMessageCompleted,
            long retryAfterMicros,
            LimitReport report) {
        outcomes.computeIfAbsent(attempt.route(), route -> Collections.synchronizedList(new ArrayList<>()))
                .add(outcome);
    }

    @Override
    public void onRetryAfter(String route, long retryAfterMicros) {}

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
