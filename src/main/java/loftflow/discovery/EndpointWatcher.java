package loftflow.discovery;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Endpoint;
import loftflow.engine.EndpointListListener;
import loftflow.log.Log;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointListKind;
import loftflow.protocol.DiscoveryProtocol;

/**
 * Requests the full list of endpoints from discovery, then watches it for changes. The full list is requested again at
 * regular intervals, since a faulty watch may omit changes, and soon after a response that leaves a gap. A request
 * whose response is overdue is repeated on another connection; a late response still counts. Must be used on the event
 * loop.
 */
public final class EndpointWatcher {
    /**
     * The time after which discovery responds to a watch request; far below the 6 s in which a change must be known.
     */
    private static final long WATCH_MILLIS = 1000;
    /** The time after which a response is overdue that discovery sends without waiting for changes. */
    public static final long RESPONSE_TIMEOUT_MILLIS = 400;
    /** How long an overdue response is awaited beside the next requests. */
    private static final long MAX_OVERDUE_MILLIS = 2000;
    /**
     * The maximum retry delay while discovery does not respond, if all relays of a fleet may share the agent. It allows
     * two requests within the 6 s in which a change must be known, so that one lost response is tolerated.
     */
    public static final long MAX_RETRY_DELAY_MILLIS = 2000;
    /** The delay between a response and the next request; far below the 200 ms in which a watch must be renewed. */
    private static final long REQUEST_DELAY_MILLIS = 10;
    /** The time without a valid response after which discovery is unresponsive; far above {@link #WATCH_MILLIS}. */
    private static final long UNRESPONSIVE_MILLIS = 2000;

    /**
     * The time after a full list at which the next one is requested, once the current watch request has ended. A change
     * must be known within 6 s, even if the watch omits it.
     */
    static final long FULL_LIST_INTERVAL_MILLIS = 3500;
    /** The maximum delay of the full-list request after a gap; the delay doubles while full lists are incomplete. */
    private static final long MAX_GAP_DELAY_MILLIS = FULL_LIST_INTERVAL_MILLIS;

    private static final long NO_REVISION = -1;
    private static final int STATUS_OK = 200;

    private static final class WatchRequest {
        final AgentConnection connection;
        /** The revision after which changes were requested; {@link #NO_REVISION} for the full list. */
        final long afterRevision;

        Future<?> overdueTimer;

        WatchRequest(AgentConnection connection, long afterRevision) {
            this.connection = connection;
            this.afterRevision = afterRevision;
        }

        boolean isForFullList() {
            return afterRevision == NO_REVISION;
        }
    }

    private final EventLoop loop;
    private AgentConnection connection;
    /** The request whose response decides about the next one; null while the next one is scheduled. */
    private WatchRequest current;
    /** The requests whose responses are overdue. */
    private final Set<WatchRequest> overdue = new HashSet<>();

    private final EndpointListListener listener;
    private final Runnable onUnresponsive;
    private final Backoff backoff;
    /** The newest entry of each endpoint that is not removed, by route. */
    private final Map<String, Endpoint> knownEndpoints = new HashMap<>();

    private InetSocketAddress address;
    private long revision = NO_REVISION;
    /** True if the next request must be for the full list. */
    private boolean isFullListRequested;
    /** The time at which the full list is due again, on the clock of {@link System#nanoTime}. */
    private long fullListDueNanos;

    private long gapDelayMillis = REQUEST_DELAY_MILLIS;
    private Future<?> gapRequest;
    private Future<?> unresponsiveTimer;

    /**
     * Creates a watcher of the discovery service at an address.
     *
     * @param onUnresponsive runs after every {@value #UNRESPONSIVE_MILLIS} ms without a valid response
     * @param backoff the delays after a malformed or missing response
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

    /** Requests the full list, then watches it for changes. */
    public void start() {
        sendRequest();
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

    /** Watches discovery at another address, whose revisions are independent of those at the previous address. */
    public void moveTo(InetSocketAddress newAddress) {
        revision = NO_REVISION;
        address = newAddress;
        Set.copyOf(overdue).forEach(request -> request.connection.close());
        connection.moveTo(newAddress);
    }

    /** Makes the next request one for the full list instead of changes. */
    public void requestFullList() {
        isFullListRequested = true;
    }

    private void sendRequest() {
        boolean isFullListDue = System.nanoTime() - fullListDueNanos >= 0;
        if (revision < 0 || isFullListRequested || isFullListDue) {
            isFullListRequested = false;
            send(new WatchRequest(connection, NO_REVISION), DiscoveryProtocol.LIST_PATH, RESPONSE_TIMEOUT_MILLIS);
        } else {
            send(
                    new WatchRequest(connection, revision),
                    EndpointListCodec.watchPath(revision, WATCH_MILLIS),
                    WATCH_MILLIS + RESPONSE_TIMEOUT_MILLIS);
        }
    }

    private void send(WatchRequest request, String path, long overdueMillis) {
        current = request;
        request.overdueTimer = loop.schedule(() -> onOverdue(request), overdueMillis, TimeUnit.MILLISECONDS);
        request.connection.request(
                HttpMethod.GET,
                path,
                "",
                overdueMillis + MAX_OVERDUE_MILLIS,
                (status, body) -> onResponse(request, status, body));
    }

    /** Repeats a request on another connection, and goes on awaiting its response, unless that is in the socket. */
    private void onOverdue(WatchRequest request) {
        request.connection.readPending();
        if (request != current) {
            return;
        }
        overdue.add(request);
        connection = new AgentConnection(loop, address);
        scheduleRequest(backoff.nextDelayMillis());
    }

    private void scheduleRequest(long delayMillis) {
        current = null;
        loop.schedule(this::sendRequest, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void onResponse(WatchRequest request, int status, String body) {
        request.overdueTimer.cancel(false);
        if (overdue.remove(request)) {
            request.connection.close();
            applyOverdueResponse(request, status, body);
            return;
        }
        boolean isAccepted = status == STATUS_OK && applyResponse(body, request.isForFullList());
        if (isAccepted) {
            backoff.reset();
        }
        scheduleRequest(isAccepted ? REQUEST_DELAY_MILLIS : backoff.nextDelayMillis());
    }

    /** Applies an overdue response unless a newer one has been applied. */
    private void applyOverdueResponse(WatchRequest request, int status, String body) {
        boolean isSuperseded = !request.isForFullList() && request.afterRevision != revision;
        if (status == STATUS_OK && !isSuperseded && isNewerOrEqual(body)) {
            applyResponse(body, request.isForFullList());
        }
    }

    private boolean isNewerOrEqual(String body) {
        try {
            return EndpointListCodec.parse(body, address.toString(), knownEndpoints)
                            .revision()
                    >= revision;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /**
     * Parses and applies a response. The watch continues whether or not this succeeds.
     *
     * @return false if the response could not be applied
     */
    private boolean applyResponse(String body, boolean isFullExpected) {
        try {
            EndpointList list = EndpointListCodec.parse(body, address.toString(), knownEndpoints);
            boolean leavesGap = leavesGap(list, isFullExpected);
            revision = list.revision();
            restartUnresponsiveTimer();
            updateKnownEndpoints(list);
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

    /** Returns whether changes since the previous response may be missing, so that the full list is needed. */
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

    private void updateKnownEndpoints(EndpointList list) {
        if (list.isFull()) {
            knownEndpoints.clear();
        }
        for (Endpoint endpoint : list.endpoints()) {
            knownEndpoints.put(endpoint.entry().route(), endpoint);
        }
        knownEndpoints.values().removeIf(endpoint -> endpoint.entry().availability() == Availability.REMOVED);
    }

    private void requestFullListSoon() {
        if (gapRequest == null || gapRequest.isDone()) {
            gapRequest = loop.schedule(this::requestFullList, gapDelayMillis, TimeUnit.MILLISECONDS);
            gapDelayMillis = Math.min(MAX_GAP_DELAY_MILLIS, 2 * gapDelayMillis);
        }
    }
}
