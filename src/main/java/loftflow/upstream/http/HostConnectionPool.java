package loftflow.upstream.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.LimitReport;

/**
 * Pools the connections to one host and queues the calls that wait for one. A call uses an idle connection if there is
 * one, otherwise the first that becomes reusable or is established. Must be used on the event loop.
 */
final class HostConnectionPool implements UpstreamCall.Owner, UpstreamConnection.Owner {
    /**
     * Dependencies and settings shared by the pools of all hosts.
     *
     * @param bootstrap connects sockets, with the connect timeout
     * @param connectTimeoutMicros the time allowed for establishing a connection, and again for a handshake on it
     * @param idleTimeoutMicros the idle time after which a connection is closed and no longer used
     * @param lateResponseMicros how long a late response is awaited after a timeout; 0 to not await it
     * @param openCalls the call of each attempt without an outcome
     */
    record Environment(
            EventLoop loop,
            Clock clock,
            Bootstrap bootstrap,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            long lateResponseMicros,
            ConnectionRegistry connections,
            Map<Message.Attempt, UpstreamCall> openCalls,
            UpstreamClient.ResultListener results) {}

    /**
     * The end of the back-off that a destination or an independent route requested. The pools of a destination share it
     * unless its routes are independent.
     */
    static final class RetryAfterDeadline {
        private long notBeforeMicros;

        private void extendTo(long untilMicros) {
            notBeforeMicros = Math.max(notBeforeMicros, untilMicros);
        }

        private boolean isInForce(long nowMicros) {
            return nowMicros < notBeforeMicros;
        }
    }

    private final Environment environment;
    private Endpoint endpoint;
    private final RetryAfterDeadline retryAfter;
    private final int maxBatchSize;
    private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    /** Connections within the settle time after their last response, in order of response. */
    private final ArrayDeque<UpstreamConnection> settling = new ArrayDeque<>();
    /** Calls that wait for a connection, oldest first. */
    private final Set<UpstreamCall> queue = new LinkedHashSet<>();

    private int connecting;
    private int idleClosures;
    private boolean isRemoved;

    HostConnectionPool(Environment environment, Endpoint endpoint, RetryAfterDeadline retryAfter, int maxBatchSize) {
        this.environment = environment;
        this.endpoint = endpoint;
        this.retryAfter = retryAfter;
        this.maxBatchSize = maxBatchSize;
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
        closeIdle();
    }

    private boolean canPoolConnections() {
        return !isRemoved && isListed() && !environment.connections().hasStarvedPools();
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
    public void onLateDelivery(Message.Attempt attempt) {
        environment.results().onLateDelivery(attempt);
    }

    @Override
    public int idleClosures() {
        return idleClosures;
    }

    /**
     * Closes idle connections after a call was reset or timed out, since they may have failed as well. A call on a
     * failed connection would end as a reset and might have run, whereas a failed connect proves that the call did not
     * run.
     */
    @Override
    public void closeIdle() {
        idleClosures++;
        List.copyOf(idle).forEach(UpstreamConnection::close);
        List.copyOf(settling).forEach(UpstreamConnection::close);
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

    /** Assigns the connection to the oldest queued call, else pools it, or closes it if it may not stay idle. */
    @Override
    public void onReusable(UpstreamConnection connection) {
        if (!queue.isEmpty()) {
            UpstreamCall call = queue.iterator().next();
            queue.remove(call);
            begin(connection, call);
        } else if (canPoolConnections()) {
            idle.addLast(connection);
            trackIdle(connection);
        } else {
            connection.close();
        }
    }

    @Override
    public boolean offerSettling(UpstreamConnection connection) {
        if (!queue.isEmpty() || !canPoolConnections()) {
            return false;
        }
        settling.addLast(connection);
        trackIdle(connection);
        return true;
    }

    private void trackIdle(UpstreamConnection connection) {
        environment.connections().addIdle(connection);
        connection.closeAfterIdle(environment.idleTimeoutMicros());
    }

    @Override
    public void onClosed(UpstreamConnection connection) {
        idle.remove(connection);
        settling.remove(connection);
        environment.connections().removeUnusable(connection);
    }

    /** Sends a call on a connection, unless a back-off or the latest arrival of its attempts now forbids it. */
    private void begin(UpstreamConnection connection, UpstreamCall call) {
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

    /** Removes and returns the most recently used idle connection that is usable; null if there is none. */
    private UpstreamConnection pollIdle() {
        for (UpstreamConnection next = idle.pollLast(); next != null; next = idle.pollLast()) {
            environment.connections().removeIdle(next);
            if (next.isUsable(environment.idleTimeoutMicros())) {
                return next;
            }
            next.close();
        }
        return null;
    }

    /** Sends a call on an idle connection, or queues it and opens a connection. */
    void start(UpstreamCall call) {
        while (!settling.isEmpty() && settling.peekFirst().isSettled()) {
            idle.addLast(settling.pollFirst());
        }
        UpstreamConnection connection = pollIdle();
        if (connection != null) {
            begin(connection, call);
            return;
        }
        queue.add(call);
        // The call is sent on whichever is ready first: a settling connection or a new one.
        UpstreamConnection nextSettled = settling.pollFirst();
        if (nextSettled != null) {
            environment.connections().removeIdle(nextSettled);
            nextSettled.becomeReusableOnceSettled();
        }
        connect();
    }

    /** Opens connections until there is one connection attempt for each queued call, as far as the limit allows. */
    void connectForQueuedCalls() {
        for (int missing = queue.size() - connecting; missing > 0; missing--) {
            connect();
        }
    }

    private void connect() {
        ConnectionRegistry connections = environment.connections();
        if (!connections.tryReserve(this)) {
            return;
        }
        connecting++;
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
        future.channel().closeFuture().addListener(closed -> connections.onChannelClosed(connection));
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
        if (queue.size() > connecting) {
            UpstreamCall oldest = queue.iterator().next();
            queue.remove(oldest);
            oldest.end(AttemptOutcome.CONNECT_FAILED);
        }
        environment.connections().onChannelClosed(connection);
    }
}
