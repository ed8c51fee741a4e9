package loftflow.discovery;

import static loftflow.fake.ScriptedPeer.answer;
import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import loftflow.engine.Endpoint;
import loftflow.engine.EndpointListListener;
import loftflow.fake.ScriptedPeer;
import loftflow.fake.ScriptedPeer.Request;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointListKind;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the discovery watch with responses that are malformed, lost or lack changes. */
@Timeout(60)
class EndpointWatcherTest implements EndpointListListener {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    /** The endpoints of all lists received so far; used on the event loop only. */
    private final Map<String, Availability> endpoints = new TreeMap<>();

    private final List<Long> revisions = new CopyOnWriteArrayList<>();
    /** A copy of {@link #endpoints} for the test thread. */
    private volatile Map<String, Availability> known = Map.of();
    /** The time at which the first list was received, on the clock of {@link System#nanoTime}. */
    private volatile long firstListNanos;
    /** How long the processing of the first list takes, as on a relay that is short of CPU. */
    private volatile long firstListProcessingMillis;

    private ScriptedPeer agent;
    private EndpointWatcher watcher;

    @AfterEach
    void end() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        agent.close();
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long revision, List<Endpoint> changes) {
        if (kind == EndpointListKind.FULL) {
            endpoints.clear();
        }
        changes.forEach(endpoint ->
                endpoints.put(endpoint.entry().route(), endpoint.entry().availability()));
        endpoints.values().removeIf(availability -> availability == Availability.REMOVED);
        known = Map.copyOf(endpoints);
        firstListNanos = revisions.isEmpty() ? System.nanoTime() : firstListNanos;
        if (revisions.isEmpty()) {
            RelayProcess.blockThread(firstListProcessingMillis);
        }
        revisions.add(revision);
    }

    private void watch(Function<Request, String> responses) throws IOException {
        agent = new ScriptedPeer(responses);
        watcher = new EndpointWatcher(
                loop, new InetSocketAddress("127.0.0.1", agent.port()), this, () -> {}, Backoff.constant(20));
        loop.submit(watcher::start).syncUninterruptibly();
    }

    /**
     * Guards against retry delays so long that after one lost response a change is not known in time. Discovery
     * recovers right after a request has failed, and its first response is lost.
     */
    @Test
    void listIsKnownInTimeAfterAnOutageAndALostResponse() throws IOException {
        AtomicLong recoveredNanos = new AtomicLong();
        AtomicInteger requests = new AtomicInteger();
        agent = new ScriptedPeer(request -> {
            if (requests.incrementAndGet() == 1) {
                recoveredNanos.set(
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EndpointWatcher.RESPONSE_TIMEOUT_MILLIS));
            }
            return requests.get() <= 2 ? ScriptedPeer.SILENCE : list(1, true, entry("h1", "in_service"));
        });
        watcher = new EndpointWatcher(
                loop,
                new InetSocketAddress("127.0.0.1", agent.port()),
                this,
                () -> {},
                Backoff.exponential(EndpointWatcher.MAX_RETRY_DELAY_MILLIS, EndpointWatcher.MAX_RETRY_DELAY_MILLIS, 1));
        loop.submit(watcher::start).syncUninterruptibly();
        await(() -> known.containsKey("h1"));
        long millis = TimeUnit.NANOSECONDS.toMillis(firstListNanos - recoveredNanos.get());
        assertTrue(millis <= 6_000, "first list " + millis + " ms after the recovery");
    }

    /** A drain was never known while each response of discovery took longer than the timeout of a full list. */
    @Test
    void changeIsKnownInTimeWhileDiscoveryRespondsSlowly() throws IOException {
        AtomicInteger revision = new AtomicInteger(1);
        watch(request -> {
            RelayProcess.blockThread(700);
            return list(revision.get(), true, entry("h1", revision.get() == 1 ? "in_service" : "terminating"));
        });
        awaitWithin(6_000, () -> known.get("h1") == Availability.LISTED);
        RelayProcess.blockThread(2 * EndpointWatcher.FULL_LIST_INTERVAL_MILLIS);
        revision.set(2);
        awaitWithin(6_000, () -> known.get("h1") == Availability.DRAINING);
    }

    private static void awaitWithin(long millis, BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        await(condition);
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(elapsedMillis <= millis, "elapsed: " + elapsedMillis + " ms");
    }

    private static String entry(String route, String state) {
        return "{\"uid\":\"" + route + "\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\",\"model\":\"one\",\"pod_group\":7,"
                + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private static String list(int revision, boolean isFull, String... entries) {
        return answer(
                200,
                "{\"rev\":" + revision + ",\"all\":" + isFull + ",\"targets\":[" + String.join(",", entries) + "]}");
    }

    private static boolean isWatch(Request request) {
        return request.line().contains("after=");
    }

    private List<Request> fullListRequests() {
        return agent.requests.stream()
                .filter(request -> request.line().startsWith("GET") && !isWatch(request))
                .toList();
    }

    /** An entry of a change is malformed and its revision is not sent again, so the full list has to be requested. */
    @Test
    void malformedChangeIsRequestedAsAFullList() throws IOException {
        watch(request -> isWatch(request)
                ? request.line().contains("after=1")
                        ? list(2, false, "{\"uid\":7}", entry("h2", "in_service"))
                        : ScriptedPeer.SILENCE
                : revisions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"))
                        : list(2, true, entry("h1", "terminating"), entry("h2", "in_service")));
        await(() -> known.get("h1") == Availability.DRAINING);
        assertEquals(Map.of("h1", Availability.DRAINING, "h2", Availability.LISTED), known);
    }

    /** If route and state are valid, the state applies at once. */
    @Test
    void stateOfAMalformedEntryApplies() throws IOException {
        watch(request -> isWatch(request)
                ? list(
                        2,
                        false,
                        entry("h1", "terminating").replace("127.0.0.1:1", "nowhere"),
                        entry("h2", "terminated").replace("\"pod_group\":7,", "\"pod_group\":70000000000,"))
                : revisions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"), entry("h2", "in_service"))
                        : ScriptedPeer.SILENCE);
        await(() -> known.get("h1") == Availability.DRAINING);
        assertEquals(Map.of("h1", Availability.DRAINING), known);
    }

    /** A full list removes the endpoints without an entry, but not an endpoint with a malformed entry. */
    @Test
    void endpointWithAMalformedEntryInAFullListIsRetained() throws IOException {
        String malformed = entry("h1", "in_service").replace("127.0.0.1:1", "");
        watch(request -> isWatch(request)
                ? list(2, true, malformed, entry("h2", "in_service"))
                : revisions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"), entry("h2", "in_service"), entry("h3", "in_service"))
                        : ScriptedPeer.SILENCE);
        await(() -> revisions.contains(2L));
        assertEquals(Map.of("h1", Availability.LISTED, "h2", Availability.LISTED), known);
    }

    @Test
    void fullListWithAnEntryWithoutRouteRemovesNothing() throws IOException {
        watch(request -> isWatch(request)
                ? list(2, true, "17", entry("h2", "in_service"))
                : revisions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"), entry("h2", "in_service"))
                        : ScriptedPeer.SILENCE);
        await(() -> revisions.contains(2L));
        assertEquals(Map.of("h1", Availability.LISTED, "h2", Availability.LISTED), known);
    }

    /** A response without a valid list is not treated as an empty list. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"rev\":2,\"all\":true}",
                "{\"rev\":2,\"all\":true,\"targets\":null}",
                "{\"rev\":2,\"all\":true,\"targets\":{}}",
                "{\"rev\":2,\"all\":true,\"targets\":[]} and more",
                "{\"rev\":2,\"all\":true,\"targets\":[",
                "[]",
                "",
                "{\"all\":true,\"targets\":[]}",
                "{\"rev\":\"x\",\"all\":true,\"targets\":[]}"
            })
    void malformedResponseRemovesNothing(String body) throws IOException {
        watch(request -> revisions.isEmpty() && !isWatch(request)
                ? list(1, true, entry("h1", "in_service"))
                : fullListRequests().size() < 4 ? answer(200, body) : list(3, true, entry("h1", "terminating")));
        await(() -> known.get("h1") == Availability.DRAINING && revisions.contains(3L));
        assertEquals(List.of(1L, 3L), revisions.stream().distinct().toList());
    }

    /** A full list that stays incomplete is requested again, with a delay that doubles each time. */
    @Test
    void listThatStaysMalformedIsRequestedAtABoundedRate() throws IOException {
        watch(request -> isWatch(request) ? list(1, false) : list(1, true, "17", entry("h1", "in_service")));
        await(() -> fullListRequests().size() == 8);
        List<Request> requests = fullListRequests();
        for (int i = 1; i < requests.size(); i++) {
            long delayMillis = TimeUnit.NANOSECONDS.toMillis(
                    requests.get(i).at() - requests.get(i - 1).at());
            // A request is scheduled when the previous response is read, but measured when it arrives at the peer.
            assertTrue(delayMillis >= (10 << i - 1) - 5, "delay " + i + ": " + delayMillis + " ms");
        }
        assertEquals(Map.of("h1", Availability.LISTED), known);
    }

    /**
     * A watch responds without error but omits a change. The change must be known within six seconds, even if the relay
     * was slow to process the previous list, as at its start.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150})
    void changeOmittedByTheWatchIsKnownInTime(long processingMillis) throws IOException {
        firstListProcessingMillis = processingMillis;
        watch(request -> {
            if (isWatch(request)) {
                return list(1, false);
            }
            return revisions.isEmpty()
                    ? list(1, true, entry("h1", "in_service"))
                    : list(9, true, entry("h1", "terminating"));
        });
        await(() -> known.get("h1") == Availability.DRAINING);
        long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - firstListNanos);
        assertTrue(durationMillis >= EndpointWatcher.FULL_LIST_INTERVAL_MILLIS, "too early: " + durationMillis + " ms");
        assertTrue(durationMillis < 6000, "too late: " + durationMillis + " ms");
    }

    /** The full list is requested after a revision that decreases, or that increases without changes. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8})
    void inconsistentRevisionTriggersAFullListRequest(int revision) throws IOException {
        watch(request -> {
            if (isWatch(request)) {
                return request.line().contains("after=5") ? list(revision, false) : ScriptedPeer.SILENCE;
            }
            return revisions.isEmpty()
                    ? list(5, true, entry("h1", "in_service"))
                    : list(revision, true, entry("h1", "terminating"));
        });
        await(() -> fullListRequests().size() == 2);
        // The request precedes the regular one for the full list.
        long durationMillis = TimeUnit.NANOSECONDS.toMillis(
                fullListRequests().get(1).at() - fullListRequests().get(0).at());
        assertTrue(
                durationMillis < EndpointWatcher.FULL_LIST_INTERVAL_MILLIS,
                "requested after " + durationMillis + " ms");
        await(() -> known.get("h1") == Availability.DRAINING);
    }

    /** The response to a request for the full list contains only changes, so the full list is requested again. */
    @Test
    void changesAreNotAcceptedAsTheFullList() throws IOException {
        watch(request -> isWatch(request)
                ? list(2, false)
                : list(
                        2,
                        fullListRequests().size() > 2,
                        entry("h" + fullListRequests().size(), "in_service")));
        await(() -> known.containsKey("h3"));
        assertEquals(Map.of("h3", Availability.LISTED), known);
    }

    /** A response that never completes is abandoned, and the next request receives the list. */
    @Test
    void responseThatNeverCompletesTimesOut() throws IOException {
        watch(request -> {
            if (isWatch(request) && request.line().contains("after=1")) {
                sendEndlessResponse(agent.connections.get(agent.connections.size() - 1));
                return ScriptedPeer.CLOSE;
            }
            return isWatch(request)
                    ? ScriptedPeer.SILENCE
                    : revisions.isEmpty()
                            ? list(1, true, entry("h1", "in_service"))
                            : list(2, true, entry("h1", "terminating"));
        });
        await(() -> known.get("h1") == Availability.DRAINING);
    }

    private static void sendEndlessResponse(Socket socket) {
        try {
            socket.getOutputStream().write("HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n".getBytes());
            while (true) {
                socket.getOutputStream().write(' ');
                TimeUnit.MILLISECONDS.sleep(20);
            }
        } catch (IOException e) {
            // The relay has closed the connection.
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Discovery moves between two requests, or during one. The full list is requested at the new address, regardless of
     * the revision at the old one.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void fullListIsRequestedAtANewAddress(boolean isRequestInProgress) throws IOException {
        watch(request -> isWatch(request)
                ? isRequestInProgress ? ScriptedPeer.SILENCE : list(7, false)
                : list(7, true, entry("h1", "in_service")));
        await(() -> agent.requests.stream().anyMatch(EndpointWatcherTest::isWatch));
        try (ScriptedPeer next = new ScriptedPeer(
                request -> isWatch(request) ? ScriptedPeer.SILENCE : list(1, true, entry("h2", "in_service")))) {
            loop.submit(() -> watcher.moveTo(new InetSocketAddress("127.0.0.1", next.port())))
                    .syncUninterruptibly();
            await(() -> Map.of("h2", Availability.LISTED).equals(known));
            assertEquals("GET /api/targets HTTP/1.1", next.requests.get(0).line());
        }
    }
}
