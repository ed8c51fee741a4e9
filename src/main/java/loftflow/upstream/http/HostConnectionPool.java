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
 * A listed host with its connections and the calls that wait for one. A call takes an idle connection, or else the
 * first that becomes reusable or comes up. For use on the event loop only.
 */
final class HostConnectionPool implements UpstreamCall.Owner, UpstreamConnection.Owner {
    /**
     * What the pools of all hosts share.
     *
     * @param bootstrap connects sockets, within the time for a connection
     * @param connectTimeoutMicros how long a connection may take to come up, and a handshake after that
     * @param idleTimeoutMicros how long a connection may be idle and still carry a call
     * @param lateResponseMicros how long a late response is awaited after a timeout; 0 for not at all
     * @param openCalls the call of every attempt that has no outcome yet
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

    /** Until when a destination, or an independent route, wants no calls; shared by the pools of a destination. */
    static final class RetryAfterDeadline {
        private long notBeforeMicros;

        private void extend(long micros) {
            notBeforeMicros = Math.max(notBeforeMicros, micros);
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
    /** Connections within the settle time of their last response, the one that has settled longest first. */
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

    /** Returns true where new calls may be sent to the host. */
    boolean isListed() {
        return endpoint.entry().availability() == Availability.LISTED;
    }

    /** Returns true where another entry names the same place, so that connections and back-off stay valid. */
    boolean isAt(Endpoint other) {
        return endpoint.address().equals(other.address())
                && endpoint.entry().destination() == other.entry().destination()
                && endpoint.entry().kind().equals(other.entry().kind());
    }

    /** Replaces the entry of the host by one at the same place. */
    void update(Endpoint updated) {
        endpoint = updated;
        if (!isListed()) {
            stopSending();
        }
    }

    /** Stops sending for good: the host is gone, or another pool takes its place. */
    void remove() {
        isRemoved = true;
        stopSending();
    }

    /** Ends queued calls, so that no call to a host that drains or is gone begins to be sent. */
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
        retryAfter.extend(nowMicros() + retryAfterMicros);
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
     * Closes idle connections after a call was reset or timed out: a later call on one that died with it would end as a
     * reset, while the failure of a new connection proves that the call never ran.
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

    /** Gives the connection to the oldest queued call, pools it, or closes it where it may not stay idle. */
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

    /** Writes a call to a connection, unless it may not be sent any more. */
    private void begin(UpstreamConnection connection, UpstreamCall call) {
        // The destination may have requested a back-off while the call waited for its connection.
        if (retryAfter.isInForce(nowMicros())) {
            call.end(AttemptOutcome.NOT_SENT);
        }
        // The first call on a connection arrives only after a handshake, as with TLS, which may take as long as the
        // settings allow for a connection.
        long handshakeMicros = connection.isNew() ? environment.connectTimeoutMicros() : 0;
        call.endAttemptsPastLatestArrival(nowMicros() + handshakeMicros);
        if (call.isCompleted()) {
            onReusable(connection);
        } else {
            connection.carry(call);
        }
    }

    /** Removes and returns the most recently used idle connection that can carry a call; null where there is none. */
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

    /** Sends a call on an idle connection, or on one that is opened for it. */
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
        // The call goes to whichever is ready first: a connection that is still settling, or a new one.
        UpstreamConnection nextSettled = settling.pollFirst();
        if (nextSettled != null) {
            environment.connections().removeIdle(nextSettled);
            nextSettled.becomeReusableOnceSettled();
        }
        connect();
    }

    /** Opens a connection for each queued call that no connection attempt serves yet. */
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
                // The failure of a socket that could not be opened is reported on another thread.
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
