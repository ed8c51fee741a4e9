package loftflow.fake;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.protocol.CompletionProtocol;
import loftflow.protocol.DiscoveryProtocol;

/**
 * A discovery agent on a loopback port (PROTOCOL, Discovery and Notices): serves an endpoint list, answers watch
 * requests when the list changes, and records every completion notice.
 */
public final class FakeDiscoveryAgent implements AutoCloseable {
    /** A completion notice. */
    public record Notice(String ref, String result) {}

    private static final Pattern AFTER = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");
    private static final Pattern NOTICE = Pattern.compile("\"ref\":\"([^\"]*)\",\"result\":\"([a-z]*)\"");

    private ScriptedPeer peer;
    private final List<Notice> notices = new CopyOnWriteArrayList<>();
    private List<String> entries = List.of();
    private long revision;

    public FakeDiscoveryAgent() throws IOException {
        peer = new ScriptedPeer(this::answer);
    }

    public String address() {
        return peer.address();
    }

    /** Returns the notices received so far, as a live view. */
    public List<Notice> notices() {
        return notices;
    }

    /** Returns an entry for the endpoint list; {@code state} is one of the states of {@link DiscoveryProtocol}. */
    public static String entry(String id, int destination, String kind, String building, String state, String address) {
        return entry(id, destination, kind, building, state, address, 1);
    }

    /** As above, with {@code rate} as the capacity hint in calls per second. */
    public static String entry(
            String id, int destination, String kind, String building, String state, String address, double rate) {
        return "{"
                + String.join(
                        ",",
                        text(DiscoveryProtocol.ROUTE, id),
                        text(DiscoveryProtocol.ADDRESS, address),
                        text(DiscoveryProtocol.ZONE, building),
                        text(DiscoveryProtocol.KIND, kind),
                        member(DiscoveryProtocol.DESTINATION, destination),
                        text(DiscoveryProtocol.STATE, state),
                        member(DiscoveryProtocol.RATE_PER_SECOND, rate),
                        member(DiscoveryProtocol.STARTED_AT_MILLIS, 0))
                + "}";
    }

    private static String text(String name, String value) {
        return "\"" + name + "\":\"" + value + "\"";
    }

    private static String member(String name, Object value) {
        return "\"" + name + "\":" + value;
    }

    /** Replaces the endpoint list; pending watch requests are answered at once. */
    public synchronized void list(List<String> next) {
        entries = new ArrayList<>(next);
        revision++;
        notifyAll();
    }

    /** Stops the agent: open connections end, and new ones are refused. */
    public void stop() throws IOException {
        peer.close();
    }

    /** Starts the agent again at the same address. */
    public void restart() throws IOException {
        peer = new ScriptedPeer(peer.port(), this::answer);
    }

    private String answer(ScriptedPeer.Request request) {
        if (request.line().startsWith("POST " + CompletionProtocol.NOTICE_PATH + " ")) {
            Matcher each = NOTICE.matcher(request.body());
            while (each.find()) {
                notices.add(new Notice(each.group(1), each.group(2)));
            }
            return ScriptedPeer.status(204);
        }
        if (!request.line().startsWith("GET " + DiscoveryProtocol.LIST_PATH)) {
            return ScriptedPeer.status(404);
        }
        Matcher watch = AFTER.matcher(request.line());
        return watch.find() ? changes(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2))) : fullList();
    }

    private synchronized String fullList() {
        return list(true, String.join(",", entries));
    }

    private synchronized String changes(long after, long waitMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        try {
            for (long left = waitMillis;
                    revision <= after && left > 0;
                    left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return revision > after ? fullList() : list(false, "");
    }

    private String list(boolean isFull, String listed) {
        String members = member(DiscoveryProtocol.REVISION, revision) + "," + member(DiscoveryProtocol.IS_FULL, isFull);
        return ScriptedPeer.answer(
                200, "{" + members + "," + member(DiscoveryProtocol.ENDPOINTS, "[" + listed + "]") + "}");
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
