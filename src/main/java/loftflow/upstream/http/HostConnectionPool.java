package loftflow.upstream.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.log.Log;
import loftflow.memory.MemoryBudget;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.LimitReport;

/**
 * Pools the connections to one host and queues the calls that wait for one. A call uses an idle connection if there is
 * one that is quiet, otherwise the first that becomes reusable or is established. Must be used on the event loop.
 */
final class HostConnectionPool implements UpstreamCallOwner, UpstreamConnectionOwner {
    /** With so many connections to a host, a call waits for one of them rather than for a new one. */
    private static final int MAX_CONNECTIONS_FOR_QUIET = 8;

    private static final int STATUS_OK = 200;

    private final UpstreamEnvironment environment;
    private Endpoint endpoint;
    private final RetryAfterDeadline retryAfter;
    private final ReuseDelay reuseDelay;
    private final HostResponseTimes responseTimes = new HostResponseTimes();
    private final ResponseVariety responseVariety = new ResponseVariety();
    private final int maxBatchSize;
    /** Connections without a call, longest quiet first; they may be within the reuse delay. */
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    /** Connections that take the oldest queued call once they have been quiet for the reuse delay. */
    private final Set<UpstreamConnection> awaitingQuiet = new HashSet<>();
    /** Calls that wait for a connection, oldest first. */
    private final Set<UpstreamCall> queue = new LinkedHashSet<>();

    /** Connections that carry no more calls and are still read. */
    private final Set<UpstreamConnection> retired = new HashSet<>();

    /** Open connections and those that are being established. */
    private int openConnections;

    private int connecting;
    private int idleClosures;
    private boolean isRemoved;

    HostConnectionPool(
            UpstreamEnvironment environment, Endpoint endpoint, RetryAfterDeadline retryAfter, int maxBatchSize) {
        this.environment = environment;
        this.endpoint = endpoint;
        this.retryAfter = retryAfter;
        this.maxBatchSize = maxBatchSize;
        reuseDelay = new ReuseDelay(environment.reuseDelayNanos());
    }

    @Override
    public String route() {
        return endpoint.entry().route();
    }

    @Override
    public String authority() {
        return endpoint.address().getHostString() + ":" + endpoint.address().getPort();
    }

    @Override
    public long nowMicros() {
        return environment.clock().micros();
    }

    @Override
    public Future<?> schedule(long delayMicros, Runnable task) {
        return environment.loop().schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }

    @Override
    public MemoryBudget responseMemory() {
        return environment.responseMemory();
    }

    @Override
    public MemoryBudget revocableMemory() {
        return environment.revocableMemory();
    }

    RetryAfterDeadline retryAfter() {
        return retryAfter;
    }

    int maxBatchSize() {
        return maxBatchSize;
    }

    /** Returns whether new calls may be sent to the host. */
    boolean isListed() {
        return endpoint.entry().availability() == Availability.LISTED;
    }

    /**
     * Returns whether another entry has the same address, destination and kind, so that the pool's connections and
     * back-off remain valid for it.
     */
    boolean matches(Endpoint other) {
        return endpoint.address().equals(other.address())
                && endpoint.entry().destination() == other.entry().destination()
                && endpoint.entry().kind().equals(other.entry().kind());
    }

    /** Replaces the host's entry with one that {@link #matches}. */
    void update(Endpoint updated) {
        endpoint = updated;
        if (!isListed()) {
            stopSending();
        }
    }

    /** Stops sending permanently, because the host was removed or another pool replaces this one. */
    void remove() {
        isRemoved = true;
        stopSending();
    }

    /** Ends queued calls and closes idle connections, so that nothing new is sent to a draining or removed host. */
    private void stopSending() {
        List.copyOf(queue).forEach(call -> {
            queue.remove(call);
            call.end(AttemptOutcome.NOT_SENT);
        });
        retireIdle(ConnectionCloseReason.NOT_POOLED);
    }

    private boolean canPool(UpstreamConnection connection) {
        return !isRemoved
                && isListed()
                && !environment.connections().hasStarvedPools()
                && (connection.isNew() || !isSingleUse());
    }

    @Override
    public void onAttemptCompleted(
            Message.Attempt attempt,
            AttemptOutcome outcome,
            boolean isMessageCompleted,
            long retryAfterMicros,
            LimitReport report) {
        environment.openCalls().remove(attempt);
        environment.results().onAttemptCompleted(attempt, outcome, isMessageCompleted, retryAfterMicros, report);
    }

    @Override
    public void onProbeCompleted(UpstreamCall call, AttemptOutcome outcome, long retryAfterMicros, LimitReport report) {
        long elapsedMicros = nowMicros() - call.startedAtMicros();
        environment.results().onProbeCompleted(route(), outcome, retryAfterMicros, elapsedMicros, report);
    }

    @Override
    public AttemptOutcome removeFromQueue(UpstreamCall call) {
        queue.remove(call);
        return connecting > 0 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
    }

    @Override
    public void onRetryAfter(long retryAfterMicros) {
        retryAfter.extendTo(nowMicros() + retryAfterMicros);
        environment.results().onRetryAfter(route(), retryAfterMicros);
    }

    @Override
    public void onLateDelivery(Message.Attempt attempt, boolean isCounted) {
        environment.results().onLateDelivery(attempt, isCounted);
    }

    @Override
    public void onNotOutstanding(UpstreamCall call, String messageId) {
        environment.outstandingCalls().remove(call, messageId);
    }

    @Override
    public int idleClosures() {
        return idleClosures;
    }

    /**
     * Retires idle connections after a call was reset or timed out, since they may have failed as well. A call on a
     * failed connection would end as a reset and might have run, whereas a failed connect proves that the call did not
     * run.
     */
    @Override
    public void closeIdle() {
        retireIdle(ConnectionCloseReason.OTHER_CALL_FAILED);
    }

    private void retireIdle(ConnectionCloseReason reason) {
        idleClosures++;
        List.copyOf(idle).forEach(connection -> connection.retire(reason));
        List.copyOf(awaitingQuiet).forEach(connection -> connection.retire(reason));
    }

    private void retireUsedIdle() {
        List.copyOf(idle).stream()
                .filter(connection -> !connection.isNew())
                .forEach(connection -> connection.retire(ConnectionCloseReason.SINGLE_USE));
        List.copyOf(awaitingQuiet).forEach(connection -> connection.retire(ConnectionCloseReason.SINGLE_USE));
    }

    @Override
    public boolean canAwaitLateResponse() {
        return environment.lateResponseMicros() > 0 && environment.connections().canAwaitLateResponse();
    }

    @Override
    public long onAwaitingLateResponse(UpstreamConnection connection) {
        environment.connections().addAwaitingLateResponse(connection);
        return environment.lateResponseMicros();
    }

    /** Assigns the connection to the oldest queued call, else pools it, or retires it if it may not stay idle. */
    @Override
    public void onReusable(UpstreamConnection connection) {
        awaitingQuiet.remove(connection);
        UpstreamCall next = queue.stream()
                .filter(call -> isSuitable(connection, call))
                .findFirst()
                .orElse(null);
        if (next != null) {
            queue.remove(next);
            begin(connection, next);
        } else if (canPool(connection)) {
            // It has been quiet for longer than those that were used meanwhile.
            idle.addFirst(connection);
            trackIdle(connection);
        } else {
            connection.retire(ConnectionCloseReason.NOT_POOLED);
        }
        connectForQueuedCalls();
    }

    /**
     * Returns whether a connection may carry a call. Where the rejections of the host are equal, one on which a
     * rejection was received can't prove another one, so a call that must not be repeated uses it only where no other
     * connection can be opened.
     */
    private boolean isSuitable(UpstreamConnection connection, UpstreamCall call) {
        return !call.mustProveRejection()
                || !connection.mayRepeatRejection()
                || environment.connections().isFull();
    }

    @Override
    public boolean offerIdle(UpstreamConnection connection) {
        if (!queue.isEmpty() || !canPool(connection)) {
            return false;
        }
        idle.addLast(connection);
        trackIdle(connection);
        return true;
    }

    @Override
    public long reuseDelayNanos() {
        return reuseDelay.nanos(hasRoomForConnections());
    }

    @Override
    public long fullReuseDelayNanos() {
        return reuseDelay.nanos(true);
    }

    @Override
    public ResponseVariety responseVariety() {
        return responseVariety;
    }

    @Override
    public HostResponseTimes responseTimes() {
        return responseTimes;
    }

    @Override
    public boolean isSingleUse() {
        SuspectHosts suspects = environment.suspectHosts();
        return suspects.isSuspect(route()) || suspects.isWidespread() && !responseVariety.isDistinct(STATUS_OK);
    }

    private boolean hasRoomForConnections() {
        return openConnections - retired.size() < MAX_CONNECTIONS_FOR_QUIET
                && !environment.connections().isFull();
    }

    @Override
    public void onUnsolicitedResponse(int status, long afterNanos, long retryAfterMicros) {
        Log.line("upstream: unsolicited response route=" + route() + " status=" + status + " afterMillis="
                + TimeUnit.NANOSECONDS.toMillis(afterNanos));
        environment.suspectHosts().onUnsolicitedResponse(route());
        if (retryAfterMicros > 0) {
            onRetryAfter(retryAfterMicros);
        }
        // What another connection receives next may be a copy as well.
        retireUsedIdle();
    }

    @Override
    public void onOutcomeDisproved(Message.Attempt attempt) {
        environment.results().onOutcomeDisproved(attempt);
    }

    @Override
    public void onConnectionEnded(
            ConnectionCloseReason retireReason, ConnectionCloseReason closeReason, int callCount, int unprovenCount) {
        environment.closeLog().onClosed(route(), retireReason, closeReason, callCount, unprovenCount);
    }

    private void trackIdle(UpstreamConnection connection) {
        environment.connections().addIdle(connection);
        connection.closeAfterIdle(environment.idleTimeoutMicros());
    }

    @Override
    public void onRetired(UpstreamConnection connection, boolean isStillRead) {
        idle.remove(connection);
        environment.connections().removeUnusable(connection);
        if (isStillRead) {
            retired.add(connection);
            environment.connections().addRetired(connection);
        }
        if (awaitingQuiet.remove(connection)) {
            connectForQueuedCalls();
        }
    }

    /**
     * Sends a call on a connection, without the attempts that the end of their message or their latest arrival now
     * forbids, and not at all within a back-off.
     */
    private void begin(UpstreamConnection connection, UpstreamCall call) {
        call.endAttemptsOfEndedMessages();
        // The destination may have requested a back-off while the call waited for its connection.
        if (retryAfter.isInForce(nowMicros())) {
            call.end(AttemptOutcome.NOT_SENT);
        }
        // A handshake such as TLS may delay the first call on a connection by up to the connect timeout.
        long handshakeMicros = connection.isNew() ? environment.connectTimeoutMicros() : 0;
        call.endAttemptsPastLatestArrival(nowMicros() + handshakeMicros);
        if (call.isCompleted()) {
            onReusable(connection);
        } else {
            connection.send(call);
        }
    }

    /** Removes and returns an idle connection that may carry the call now; null if there is none. */
    private UpstreamConnection pollUsable(UpstreamCall call) {
        for (UpstreamConnection next = findQuiet(call); next != null; next = findQuiet(call)) {
            idle.remove(next);
            environment.connections().removeIdle(next);
            boolean isUsedUp = isSingleUse() && !next.isNew();
            if (!isUsedUp && next.isUsable(environment.idleTimeoutMicros())) {
                return next;
            }
            next.retire(isUsedUp ? ConnectionCloseReason.SINGLE_USE : ConnectionCloseReason.IDLE_TIMEOUT);
        }
        return null;
    }

    /**
     * Returns the most recently used connection that has been quiet for the whole reuse delay, so that a surplus of
     * connections reaches the idle timeout, and calls avoid those that may have failed unseen. Without one, and without
     * room for another connection, returns the longest quiet one if it has been quiet for the shorter delay; otherwise
     * null.
     */
    private UpstreamConnection findQuiet(UpstreamCall call) {
        for (Iterator<UpstreamConnection> next = idle.descendingIterator(); next.hasNext(); ) {
            UpstreamConnection connection = next.next();
            if (connection.isFullyQuiet() && isSuitable(connection, call)) {
                return connection;
            }
        }
        UpstreamConnection longestQuiet = idle.peekFirst();
        return longestQuiet != null && longestQuiet.quietInNanos() <= 0 && isSuitable(longestQuiet, call)
                ? longestQuiet
                : null;
    }

    /** Sends a call on a quiet connection, or queues it for the first connection that is ready. */
    void start(UpstreamCall call) {
        UpstreamConnection connection = pollUsable(call);
        if (connection != null) {
            begin(connection, call);
            return;
        }
        queue.add(call);
        UpstreamConnection nextQuiet = idle.stream()
                .filter(candidate -> isSuitable(candidate, call))
                .min(Comparator.comparingLong(UpstreamConnection::quietInNanos))
                .orElse(null);
        if (nextQuiet != null) {
            idle.remove(nextQuiet);
            environment.connections().removeIdle(nextQuiet);
            awaitingQuiet.add(nextQuiet);
            nextQuiet.becomeReusableOnceQuiet();
            return;
        }
        if (!hasRoomForConnections()) {
            replaceUnsuitable(call);
        }
        connect();
    }

    /** Retires the longest idle connection that can't carry a call, so that another one may take its place. */
    private void replaceUnsuitable(UpstreamCall call) {
        idle.stream()
                .filter(connection -> !isSuitable(connection, call))
                .findFirst()
                .ifPresent(connection -> connection.retire(ConnectionCloseReason.REJECTION_RECEIVED));
    }

    /** Opens connections until one is on its way for each queued call, as far as the limit allows. */
    void connectForQueuedCalls() {
        for (int missing = queue.size() - connecting - awaitingQuiet.size(); missing > 0; missing--) {
            connect();
        }
    }

    private void connect() {
        ConnectionRegistry connections = environment.connections();
        if (!connections.tryReserve(this)) {
            return;
        }
        connecting++;
        openConnections++;
        UpstreamConnection connection = new UpstreamConnection(this);
        ChannelFuture future = environment
                .bootstrap()
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(connection.handlers());
                    }
                })
                .connect(endpoint.address());
        connections.onOpening(connection);
        future.channel().closeFuture().addListener(closed -> onChannelClosed(connection));
        future.addListener(connected -> {
            if (connected.isSuccess()) {
                connecting--;
                onReusable(connection);
            } else {
                // If the socket could not be created, Netty reports the failure on another thread.
                environment.loop().execute(() -> onConnectFailed(connection));
            }
        });
    }

    private void onConnectFailed(UpstreamConnection connection) {
        connecting--;
        if (queue.size() > connecting + awaitingQuiet.size()) {
            UpstreamCall oldest = queue.iterator().next();
            queue.remove(oldest);
            oldest.end(AttemptOutcome.CONNECT_FAILED);
        }
        onChannelClosed(connection);
    }

    /** Releases a closed connection; has no effect if it has been released. */
    private void onChannelClosed(UpstreamConnection connection) {
        if (environment.connections().onChannelClosed(connection)) {
            openConnections--;
            retired.remove(connection);
            environment.connections().connectStarvedPools();
        }
    }
}
