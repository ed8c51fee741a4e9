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

/** The watch on discovery where answers are spoilt, or say nothing of what has changed. */
@Timeout(60)
class EndpointWatcherTest implements EndpointListListener {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    /** What the relay knows, as it takes lists in. */
    private final Map<String, Availability> hosts = new TreeMap<>();

    private final List<Long> versions = new CopyOnWriteArrayList<>();
    private volatile Map<String, Availability> known = Map.of();
    /** When the first list was taken in. */
    private volatile long takenAt;
    /** So long the first list takes to be taken in, as for want of CPU. */
    private volatile long holdMs;

    private ScriptedPeer agent;
    private EndpointWatcher discovery;

    @AfterEach
    void end() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        agent.close();
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> targets) {
        if (kind == EndpointListKind.FULL) {
            hosts.clear();
        }
        targets.forEach(t -> hosts.put(t.entry().route(), t.entry().availability()));
        hosts.values().removeIf(a -> a == Availability.REMOVED);
        known = Map.copyOf(hosts);
        takenAt = versions.isEmpty() ? System.nanoTime() : takenAt;
        if (versions.isEmpty()) {
            RelayProcess.hold(holdMs);
        }
        versions.add(version);
    }

    private void watch(Function<Request, String> answers) throws IOException {
        agent = new ScriptedPeer(answers);
        discovery = new EndpointWatcher(
                loop, new InetSocketAddress("127.0.0.1", agent.port()), this, () -> {}, Backoff.steady(20));
        loop.submit(discovery::start).syncUninterruptibly();
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

    private List<Request> wholes() {
        return agent.requests.stream()
                .filter(r -> r.line().startsWith("GET") && !isWatch(r))
                .toList();
    }

    /** The change can't be read, and its version will not be told again: the whole list has it. */
    @Test
    void changeThatCannotBeReadIsAskedForAgain() throws IOException {
        watch(request -> isWatch(request)
                ? request.line().contains("after=1")
                        ? list(2, false, "{\"uid\":7}", entry("h2", "in_service"))
                        : ScriptedPeer.SILENCE
                : versions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"))
                        : list(2, true, entry("h1", "terminating"), entry("h2", "in_service")));
        await(() -> known.get("h1") == Availability.DRAINING);
        assertEquals(Map.of("h1", Availability.DRAINING, "h2", Availability.LISTED), known);
    }

    /** Where name and state can be read, a drain counts at once. */
    @Test
    void drainCountsThoughTheRestOfItsEntryMakesNoSense() throws IOException {
        watch(request -> isWatch(request)
                ? list(
                        2,
                        false,
                        entry("h1", "terminating").replace("127.0.0.1:1", "nowhere"),
                        entry("h2", "terminated").replace("\"pod_group\":7,", "\"pod_group\":70000000000,"))
                : versions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"), entry("h2", "in_service"))
                        : ScriptedPeer.SILENCE);
        await(() -> known.get("h1") == Availability.DRAINING);
        assertEquals(Map.of("h1", Availability.DRAINING), known);
    }

    /** A whole list takes away what it leaves out, but no host of which it has an entry that can't be read. */
    @Test
    void goodHostStaysThoughItsEntryInAWholeListMakesNoSense() throws IOException {
        String spoilt = entry("h1", "in_service").replace("127.0.0.1:1", "");
        watch(request -> isWatch(request)
                ? list(2, true, spoilt, entry("h2", "in_service"))
                : versions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"), entry("h2", "in_service"), entry("h3", "in_service"))
                        : ScriptedPeer.SILENCE);
        await(() -> versions.contains(2L));
        assertEquals(Map.of("h1", Availability.LISTED, "h2", Availability.LISTED), known);
    }

    @Test
    void wholeListWithAnEntryThatHasNoNameTakesNothingAway() throws IOException {
        watch(request -> isWatch(request)
                ? list(2, true, "17", entry("h2", "in_service"))
                : versions.isEmpty()
                        ? list(1, true, entry("h1", "in_service"), entry("h2", "in_service"))
                        : ScriptedPeer.SILENCE);
        await(() -> versions.contains(2L));
        assertEquals(Map.of("h1", Availability.LISTED, "h2", Availability.LISTED), known);
    }

    /** An answer with no list at all is not one that lists nothing. */
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
    void answerThatMakesNoSenseTakesNothingAway(String body) throws IOException {
        watch(request -> versions.isEmpty() && !isWatch(request)
                ? list(1, true, entry("h1", "in_service"))
                : wholes().size() < 4 ? answer(200, body) : list(3, true, entry("h1", "terminating")));
        await(() -> known.get("h1") == Availability.DRAINING);
        assertEquals(List.of(1L, 3L), versions.stream().distinct().toList());
    }

    /** A list that can never be read whole is asked for again, but each time after twice the pause. */
    @Test
    void listThatStaysSpoiltIsAskedForAtABoundedRate() throws IOException {
        watch(request -> isWatch(request) ? list(1, false) : list(1, true, "17", entry("h1", "in_service")));
        await(() -> wholes().size() == 8);
        List<Request> asked = wholes();
        for (int i = 1; i < asked.size(); i++) {
            long gap = TimeUnit.NANOSECONDS.toMillis(
                    asked.get(i).at() - asked.get(i - 1).at());
            // Each is scheduled as the answer before it is read; the peer notes when a request has come.
            assertTrue(gap >= (10 << i - 1) - 5, "pause " + i + ": " + gap + " ms");
        }
        assertEquals(Map.of("h1", Availability.LISTED), known);
    }

    /**
     * A watch that answers without error and tells nothing: what it misses counts as told six seconds later, also by a
     * relay that
     * was slow to take in the list before, as at its start.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150})
    void watchThatGoesOnAndTellsNothingIsFoundOut(long slowToTakeIn) throws IOException {
        holdMs = slowToTakeIn;
        watch(request -> {
            if (isWatch(request)) {
                return list(1, false);
            }
            return versions.isEmpty()
                    ? list(1, true, entry("h1", "in_service"))
                    : list(9, true, entry("h1", "terminating"));
        });
        await(() -> known.get("h1") == Availability.DRAINING);
        long span = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - takenAt);
        assertTrue(span >= EndpointWatcher.CHECK_MS, "lists cost the whole fleet: " + span + " ms");
        assertTrue(span < 6000, "it counts as told: " + span + " ms");
    }

    /** A version that goes back, or on with no word of what has changed: the whole list tells. */
    @ParameterizedTest
    @ValueSource(ints = {3, 8})
    void versionThatDoesNotFitIsAskedAfterAtOnce(int version) throws IOException {
        watch(request -> {
            if (isWatch(request)) {
                return request.line().contains("after=5") ? list(version, false) : ScriptedPeer.SILENCE;
            }
            return versions.isEmpty()
                    ? list(5, true, entry("h1", "in_service"))
                    : list(version, true, entry("h1", "terminating"));
        });
        await(() -> wholes().size() == 2);
        // Far sooner than a watch that tells nothing is found out.
        long span = TimeUnit.NANOSECONDS.toMillis(
                wholes().get(1).at() - wholes().get(0).at());
        assertTrue(span < EndpointWatcher.CHECK_MS, "asked after " + span + " ms");
        await(() -> known.get("h1") == Availability.DRAINING);
    }

    /** The whole list was asked for, and changes came. */
    @Test
    void changesInPlaceOfTheWholeListAreNotTakenForIt() throws IOException {
        watch(request -> isWatch(request)
                ? list(2, false)
                : list(2, wholes().size() > 2, entry("h" + wholes().size(), "in_service")));
        await(() -> known.containsKey("h3"));
        assertEquals(Map.of("h3", Availability.LISTED), known);
    }

    /** It drips and never ends; the next call has the list. */
    @Test
    void answerThatDripsAndNeverEndsIsGivenUp() throws IOException {
        watch(request -> {
            if (isWatch(request) && request.line().contains("after=1")) {
                drip(agent.connections.get(agent.connections.size() - 1));
                return ScriptedPeer.CLOSE;
            }
            return isWatch(request)
                    ? ScriptedPeer.SILENCE
                    : versions.isEmpty()
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
            // The relay has given up.
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * It moves between two calls, and while one is out: the list of the new place is asked for whole, whatever the old
     * one's version.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void moveCrossesACall(boolean out) throws IOException {
        watch(request -> isWatch(request)
                ? out ? ScriptedPeer.SILENCE : list(7, false)
                : list(7, true, entry("h1", "in_service")));
        await(() -> agent.requests.stream().anyMatch(EndpointWatcherTest::isWatch));
        try (ScriptedPeer next = new ScriptedPeer(
                request -> isWatch(request) ? ScriptedPeer.SILENCE : list(1, true, entry("h2", "in_service")))) {
            loop.submit(() -> discovery.moveTo(new InetSocketAddress("127.0.0.1", next.port())))
                    .syncUninterruptibly();
            await(() -> Map.of("h2", Availability.LISTED).equals(known));
            assertEquals("GET /api/targets HTTP/1.1", next.requests.get(0).line());
        }
    }
}
