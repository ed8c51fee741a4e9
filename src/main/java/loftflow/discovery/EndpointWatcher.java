package loftflow.discovery;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Endpoint;
import loftflow.engine.EndpointListListener;
import loftflow.log.Log;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointListKind;
import loftflow.protocol.DiscoveryProtocol;

/**
 * Requests discovery's full list of endpoints, then watches it for changes. The full list is requested again at regular
 * intervals, since a watch may go on answering without its changes, and soon after an answer that leaves a gap. To be
 * used on the event loop.
 */
public final class EndpointWatcher {
    /** A watch answers after this long; far below the time in which a change must be known. */
    private static final long WATCH_MILLIS = 1000;
    /** The timeout of an answer that discovery has at once. */
    public static final long RESPONSE_TIMEOUT_MILLIS = 400;
    /**
     * The longest pause before a request to discovery that has not answered, where a whole fleet may share the agent.
     * Two requests fit into the 6 s after which a change must be known, so that one lost answer is not too much.
     */
    public static final long MAX_RETRY_DELAY_MILLIS = 2000;
    /** The delay between an answer and the next request; far below the 200 ms after which a watch ends. */
    private static final long REQUEST_DELAY_MILLIS = 10;
    /** Without a readable answer for this long, discovery is unresponsive; far above {@link #WATCH_MILLIS}. */
    private static final long UNRESPONSIVE_MILLIS = 2000;

    /**
     * The full list is requested this long after the last one, or when a watch ends then. A change must be known 6 s
     * after discovery has it, also where the watch misses it.
     */
    static final long FULL_LIST_INTERVAL_MILLIS = 3500;
    /** The longest delay of a request that is to close a gap; it doubles while the list stays unreadable. */
    private static final long MAX_GAP_DELAY_MILLIS = FULL_LIST_INTERVAL_MILLIS;

    private static final long NO_REVISION = -1;
    private static final int STATUS_OK = 200;

    private final EventLoop loop;
    private final AgentConnection connection;
    private final EndpointListListener listener;
    private final Runnable onUnresponsive;
    private final Backoff backoff;
    /** The newest entry of each endpoint that is not removed, by route. */
    private final Map<String, Endpoint> known = new HashMap<>();

    private InetSocketAddress address;
    private long revision = NO_REVISION;
    /** Set while a request may be out, so that the next one is for the full list. */
    private boolean isFullListRequested;
    /** When the full list is due again, on the system's nanosecond clock. */
    private long fullListDueNanos;

    private long gapDelayMillis = REQUEST_DELAY_MILLIS;
    private Future<?> gapRequest;
    private Future<?> unresponsiveTimer;

    /**
     * A watch at an address.
     *
     * @param onUnresponsive runs each {@value #UNRESPONSIVE_MILLIS} ms without a readable answer
     * @param backoff the delays after an answer that could not be read, or that never came
     */
    public EndpointWatcher(
            EventLoop loop,
            InetSocketAddress address,
            EndpointListListener listener,
            Runnable onUnresponsive,
            Backoff backoff) {
        this.loop = loop;
        this.listener = listener;
        this.onUnresponsive = onUnresponsive;
        this.backoff = backoff;
        this.address = address;
        connection = new AgentConnection(loop, address);
    }

    /** Requests the full list, then watches. */
    public void start() {
        request();
        restartUnresponsiveTimer();
    }

    private void restartUnresponsiveTimer() {
        if (unresponsiveTimer != null) {
            unresponsiveTimer.cancel(false);
        }
        unresponsiveTimer = loop.schedule(
                () -> {
                    onUnresponsive.run();
                    restartUnresponsiveTimer();
                },
                UNRESPONSIVE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Watches at another address from now on; its revisions need not be those of the old one. */
    public void moveTo(InetSocketAddress next) {
        revision = NO_REVISION;
        address = next;
        connection.moveTo(next);
    }

    /** Requests the full list next, in place of its changes. */
    public void requestFullList() {
        isFullListRequested = true;
    }

    private void request() {
        boolean isFullListDue = System.nanoTime() - fullListDueNanos >= 0;
        if (revision < 0 || isFullListRequested || isFullListDue) {
            isFullListRequested = false;
            connection.request(
                    HttpMethod.GET,
                    DiscoveryProtocol.LIST_PATH,
                    "",
                    RESPONSE_TIMEOUT_MILLIS,
                    (status, body) -> onResponse(status, body, true));
        } else {
            connection.request(
                    HttpMethod.GET,
                    EndpointListCodec.watchPath(revision, WATCH_MILLIS),
                    "",
                    WATCH_MILLIS + RESPONSE_TIMEOUT_MILLIS,
                    (status, body) -> onResponse(status, body, false));
        }
    }

    private void onResponse(int status, String body, boolean isFullExpected) {
        boolean isAccepted = status == STATUS_OK && accept(body, isFullExpected);
        if (isAccepted) {
            backoff.reset();
        }
        long delayMillis = isAccepted ? REQUEST_DELAY_MILLIS : backoff.nextDelayMillis();
        loop.schedule(this::request, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Reads and applies an answer. Whatever is wrong with it, the watch goes on. */
    private boolean accept(String body, boolean isFullExpected) {
        try {
            EndpointList list = EndpointListCodec.parse(body, address.toString(), known);
            boolean leavesGap = leavesGap(list, isFullExpected);
            revision = list.revision();
            restartUnresponsiveTimer();
            updateKnown(list);
            if (list.isFull() || !list.endpoints().isEmpty()) {
                EndpointListKind kind = list.isFull() ? EndpointListKind.FULL : EndpointListKind.DELTA;
                listener.onEndpointList(kind, list.revision(), list.endpoints());
            }
            if (list.isFull()) {
                fullListDueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FULL_LIST_INTERVAL_MILLIS);
            }
            if (leavesGap) {
                requestFullListSoon();
            } else if (list.isFull()) {
                gapDelayMillis = REQUEST_DELAY_MILLIS;
            }
            return true;
        } catch (IOException | RuntimeException e) {
            Log.line("discovery: response skipped address=" + address + " error=" + e.getMessage());
            revision = NO_REVISION;
            return false;
        }
    }

    /** True where only the full list has all that changed since the answer before. */
    private boolean leavesGap(EndpointList list, boolean isFullExpected) {
        if (!list.isComplete()) {
            return true;
        }
        if (list.isFull()) {
            return false;
        }
        boolean hasUnlistedChanges =
                list.revision() > revision && list.endpoints().isEmpty();
        return isFullExpected || list.revision() < revision || hasUnlistedChanges;
    }

    private void updateKnown(EndpointList list) {
        if (list.isFull()) {
            known.clear();
        }
        for (Endpoint endpoint : list.endpoints()) {
            known.put(endpoint.entry().route(), endpoint);
        }
        known.values().removeIf(endpoint -> endpoint.entry().availability() == Availability.REMOVED);
    }

    private void requestFullListSoon() {
        if (gapRequest == null || gapRequest.isDone()) {
            gapRequest = loop.schedule(this::requestFullList, gapDelayMillis, TimeUnit.MILLISECONDS);
            gapDelayMillis = Math.min(MAX_GAP_DELAY_MILLIS, 2 * gapDelayMillis);
        }
    }
}
