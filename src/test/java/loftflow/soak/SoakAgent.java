package loftflow.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.fake.ScriptedPeer;
import loftflow.protocol.CompletionProtocol;
import loftflow.protocol.DiscoveryProtocol;

/** Discovery agent of the relay's host: serves endpoint lists, late or not at all at times, and receives notices. */
final class SoakAgent implements AutoCloseable {
    /** A change counts as announced at most this long after discovery has it and is reachable (PROTOCOL, Figures). */
    private static final long MAX_ANNOUNCEMENT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long SLOW_MILLIS = 250;
    private static final Pattern WATCH =
            Pattern.compile(DiscoveryProtocol.AFTER_REVISION + "=(\\d+)&" + DiscoveryProtocol.WAIT_MILLIS + "=(\\d+)");
    private static final Pattern NOTICE = Pattern.compile("\"" + CompletionProtocol.MESSAGE_ID + "\":\"([^\"]*)\",\""
            + CompletionProtocol.RESULT + "\":\"([a-z]*)\"");

    private final SoakHistory history;
    /** Accepts completion notices at all times, also while discovery is down. */
    private final ScriptedPeer notices;

    private ScriptedPeer discovery;
    private boolean isDown;
    private volatile boolean isSlow;
    private List<String> entries = List.of();
    private int revision;
    private long changedAtNanos;
    private long reachableSinceNanos;
    /** Time at which each revision was first sent. */
    private final Map<Integer, Long> sentAtNanos = new ConcurrentHashMap<>();

    SoakAgent(SoakHistory history) throws IOException {
        this.history = history;
        notices = new ScriptedPeer(this::onNotices);
        discovery = new ScriptedPeer(this::onListRequest);
        reachableSinceNanos = System.nanoTime();
    }

    String noticeAddress() {
        return notices.address();
    }

    String discoveryAddress() {
        return discovery.address();
    }

    /** Returns the list entry of an endpoint that is in service. */
    static String entry(String route, int destination, String kind, String address) {
        return "{\"" + DiscoveryProtocol.ROUTE + "\":\"" + route + "\",\"" + DiscoveryProtocol.ADDRESS + "\":\""
                + address
                + "\",\"" + DiscoveryProtocol.ZONE + "\":\"main\",\"" + DiscoveryProtocol.KIND + "\":\"" + kind
                + "\",\"" + DiscoveryProtocol.DESTINATION + "\":" + destination + ",\"" + DiscoveryProtocol.STATE
                + "\":\"" + DiscoveryProtocol.STATE_LISTED + "\",\"" + DiscoveryProtocol.RATE_PER_SECOND
                + "\":80.0,\"" + DiscoveryProtocol.STARTED_AT_MILLIS + "\":0}";
    }

    synchronized void publish(List<String> next) {
        entries = new ArrayList<>(next);
        revision++;
        changedAtNanos = System.nanoTime();
        notifyAll();
    }

    /**
     * Waits until the newest list counts as announced, which is when it is first sent, or six seconds after it could
     * be requested.
     *
     * @return that time
     */
    synchronized long awaitAnnounced() throws InterruptedException {
        long latest = Math.max(changedAtNanos, reachableSinceNanos) + MAX_ANNOUNCEMENT_DELAY_NANOS;
        while (!sentAtNanos.containsKey(revision) && System.nanoTime() < latest) {
            wait(10);
        }
        return Math.min(latest, sentAtNanos.getOrDefault(revision, latest));
    }

    void setSlow(boolean slow) {
        isSlow = slow;
    }

    synchronized void setDown(boolean down) throws IOException {
        if (down && !isDown) {
            discovery.close();
        } else if (!down && isDown) {
            discovery = new ScriptedPeer(discovery.port(), this::onListRequest);
            reachableSinceNanos = System.nanoTime();
        }
        isDown = down;
    }

    private String onNotices(ScriptedPeer.Request request) {
        Matcher notice = NOTICE.matcher(request.body());
        while (notice.find()) {
            history.completions.add(new SoakHistory.Completion(notice.group(1), notice.group(2), request.at()));
        }
        return ScriptedPeer.status(204);
    }

    private String onListRequest(ScriptedPeer.Request request) {
        if (!request.line().startsWith("GET " + DiscoveryProtocol.LIST_PATH)) {
            return ScriptedPeer.status(404);
        }
        Matcher watch = WATCH.matcher(request.line());
        return watch.find() ? changes(Integer.parseInt(watch.group(1)), Long.parseLong(watch.group(2))) : fullList();
    }

    private synchronized String changes(int after, long waitMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        try {
            while (revision <= after && System.nanoTime() < end) {
                wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return revision > after ? fullList() : list(false, "");
    }

    private synchronized String fullList() {
        if (isSlow) {
            try {
                wait(SLOW_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        sentAtNanos.putIfAbsent(revision, System.nanoTime());
        return list(true, String.join(",", entries));
    }

    private String list(boolean isFull, String listed) {
        return ScriptedPeer.answer(
                200,
                "{\"" + DiscoveryProtocol.REVISION + "\":" + revision + ",\"" + DiscoveryProtocol.IS_FULL + "\":"
                        + isFull + ",\"" + DiscoveryProtocol.ENDPOINTS + "\":[" + listed + "]}");
    }

    @Override
    public void close() throws IOException {
        notices.close();
        discovery.close();
    }
}
