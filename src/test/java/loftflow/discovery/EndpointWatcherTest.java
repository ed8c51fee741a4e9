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

/** The watch on discovery where answers are malformed, or lack what has changed. */
@Timeout(60)
class EndpointWatcherTest implements EndpointListListener {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    /** The endpoints that are known, as lists are received. */
    private final Map<String, Availability> endpoints = new TreeMap<>();

    private final List<Long> revisions = new CopyOnWriteArrayList<>();
    private volatile Map<String, Availability> known = Map.of();
    /** When the first list was received, on the system's nanosecond clock. */
    private volatile long firstListNanos;
    /** How long the first list takes to be processed, as for want of CPU. */
    private volatile long processingMillis;

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
        changes.forEach(e -> endpoints.put(e.entry().route(), e.entry().availability()));
        endpoints.values().removeIf(a -> a == Availability.REMOVED);
        known = Map.copyOf(endpoints);
        firstListNanos = revisions.isEmpty() ? System.nanoTime() : firstListNanos;
        if (revisions.isEmpty()) {
            RelayProcess.blockThread(processingMillis);
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
     * Guards against pauses between requests that are so long that one lost answer costs the time in which a change must
     * be known: discovery is back right after a request has failed, and its first answer is lost.
     */
    @Test
    void listIsKnownInTimeAfterAnOutageThoughOneAnswerIsLost() throws IOException {
        AtomicLong returnedNanos = new AtomicLong();
        AtomicInteger requests = new AtomicInteger();
        agent = new ScriptedPeer(request -> {
            if (requests.incrementAndGet() == 1) {
                returnedNanos.set(
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
        long millis = TimeUnit.NANOSECONDS.toMillis(firstListNanos - returnedNanos.get());
        assertTrue(millis <= 6_000, millis + " ms");
    }

    private static String entry(String uid, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"a\",\"model\":\"one\",\"pod_group\":7,"
                + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private static String list(int rev, boolean all, String... entries) {
        return answer(200, "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", entries) + "]}");
    }

    private static boolean isWatch(Request request) {
        return request.line().contains("after=");
    }

    private List<Request> fullListRequests() {
        return agent.requests.stream()
                .filter(r -> r.line().startsWith("GET") && !isWatch(r))
                .toList();
    }

    /** The change can't be read, and its revision is not sent again: the full list has it. */
    @Test
    void unreadableChangeIsRequestedInAFullList() throws IOException {
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

    /** Where route and state can be read, the state applies at once. */
    @Test
    void stateAppliesThoughTheRestOfItsEntryIsMalformed() throws IOException {
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

    /** A full list removes what it lacks, but no endpoint of which it has a malformed entry. */
    @Test
    void endpointStaysThoughItsEntryInAFullListIsMalformed() throws IOException {
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

    /** An answer without a list is not an empty list. */
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
    void malformedAnswerRemovesNothing(String body) throws IOException {
        watch(request -> revisions.isEmpty() && !isWatch(request)
                ? list(1, true, entry("h1", "in_service"))
                : fullListRequests().size() < 4 ? answer(200, body) : list(3, true, entry("h1", "terminating")));
        await(() -> known.get("h1") == Availability.DRAINING);
        assertEquals(List.of(1L, 3L), revisions.stream().distinct().toList());
    }

    /** A list that is never readable as a whole is requested again, each time after twice the delay. */
    @Test
    void listThatStaysMalformedIsRequestedAtABoundedRate() throws IOException {
        watch(request -> isWatch(request) ? list(1, false) : list(1, true, "17", entry("h1", "in_service")));
        await(() -> fullListRequests().size() == 8);
        List<Request> requests = fullListRequests();
        for (int i = 1; i < requests.size(); i++) {
            long gap = TimeUnit.NANOSECONDS.toMillis(
                    requests.get(i).at() - requests.get(i - 1).at());
            // Each is scheduled when the answer before it is read; the peer notes when a request arrives.
            assertTrue(gap >= (10 << i - 1) - 5, "delay " + i + ": " + gap + " ms");
        }
        assertEquals(Map.of("h1", Availability.LISTED), known);
    }

    /**
     * A watch answers without error and without changes. What it misses must be known six seconds later, also by a relay
     * that was slow to process the list before, as at its start.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150})
    void watchThatMissesChangesIsDetected(long firstListMillis) throws IOException {
        processingMillis = firstListMillis;
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

    /** After a revision that goes back, or on without changes, the full list is requested. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8})
    void inconsistentRevisionLeadsToAFullListAtOnce(int revision) throws IOException {
        watch(request -> {
            if (isWatch(request)) {
                return request.line().contains("after=5") ? list(revision, false) : ScriptedPeer.SILENCE;
            }
            return revisions.isEmpty()
                    ? list(5, true, entry("h1", "in_service"))
                    : list(revision, true, entry("h1", "terminating"));
        });
        await(() -> fullListRequests().size() == 2);
        // Far sooner than a watch that misses changes is detected.
        long durationMillis = TimeUnit.NANOSECONDS.toMillis(
                fullListRequests().get(1).at() - fullListRequests().get(0).at());
        assertTrue(
                durationMillis < EndpointWatcher.FULL_LIST_INTERVAL_MILLIS,
                "requested after " + durationMillis + " ms");
        await(() -> known.get("h1") == Availability.DRAINING);
    }

    /** The answer to a request for the full list holds changes. */
    @Test
    void changesInPlaceOfTheFullListDoNotCountAsIt() throws IOException {
        watch(request -> isWatch(request)
                ? list(2, false)
                : list(
                        2,
                        fullListRequests().size() > 2,
                        entry("h" + fullListRequests().size(), "in_service")));
        await(() -> known.containsKey("h3"));
        assertEquals(Map.of("h3", Availability.LISTED), known);
    }

    /** An answer that never ends is abandoned; the next request gets the list. */
    @Test
    void answerThatNeverEndsTimesOut() throws IOException {
        watch(request -> {
            if (isWatch(request) && request.line().contains("after=1")) {
                drip(agent.connections.get(agent.connections.size() - 1));
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

    private static void drip(Socket socket) {
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
     * Discovery moves between two requests, and while one is out. The full list of the new address is requested, whatever
     * the old one's revision.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void moveLeadsToTheFullListOfTheNewAddress(boolean isRequestOut) throws IOException {
        watch(request -> isWatch(request)
                ? isRequestOut ? ScriptedPeer.SILENCE : list(7, false)
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
