package loftflow.upstream.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PolicySettings;

/**
 * Calls hosts over kept connections and tells what became of each attempt. It resends nothing: a call goes
 * out once, on one connection.
 */
public final class HttpUpstreamClient implements UpstreamClient {
    private static final long PROBE_TIMEOUT = 1_500_000;
    private static final long SECOND = 1_000_000;
    private static final int MOST_BODY = 64 << 10;
    /** One connection in so many may listen for a late answer. */
    private static final int LISTENING_PART = 4;

    /**
     * How partners are called.
     *
     * @param reports whether answers may tell of limits, so that a probe asks for the same
     * @param idleSpan microseconds after which a host closes a connection that stands idle, at the latest
     * @param mostConnections how many connections to all hosts there may be
     * @param listenOn microseconds for which a late answer is listened for after a time-out; 0 for not at all
     */
    public record Options(boolean reports, long idleSpan, int mostConnections, long listenOn) {}

    /** Until when a destination, or a route apart, has told this relay to wait. */
    private static final class Wait {
        long until;
    }

    /** A listed host with its connections. */
    private final class Host implements UpstreamCall.Owner, UpstreamConnection.Owner {
        private Endpoint target;
        private final Wait wait;
        private final int batch;
        private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
        /** Connections that rest from their last answer, the one that has rested longest first. */
        private final ArrayDeque<UpstreamConnection> resting = new ArrayDeque<>();
        /** Calls that wait for a connection, oldest first. */
        private final Set<UpstreamCall> queue = new LinkedHashSet<>();

        private int connecting;
        /** How often its kept connections were found not worth trusting. */
        private int breaks;

        private Host(Endpoint target, Wait wait, int batch) {
            this.target = target;
            this.wait = wait;
            this.batch = batch;
        }

        @Override
        public int breaks() {
            return breaks;
        }

        @Override
        public String route() {
            return target.entry().route();
        }

        private boolean isListed() {
            return target.entry().availability() == Availability.LISTED;
        }

        /** True where another entry speaks of the same place, so that connections and waits go on. */
        private boolean isAt(Endpoint other) {
            return target.address().equals(other.address())
                    && target.entry().destination() == other.entry().destination()
                    && target.entry().kind().equals(other.entry().kind());
        }

        @Override
        public String authority() {
            return target.address().getHostString() + ":" + target.address().getPort();
        }

        @Override
        public long now() {
            return clock.micros();
        }

        @Override
        public Future<?> after(long micros, Runnable task) {
            return loop.schedule(task, micros, TimeUnit.MICROSECONDS);
        }

        @Override
        public void ended(Message.Attempt attempt, AttemptOutcome result, boolean over, long wait, LimitReport report) {
            calls.remove(attempt);
            results.onAttemptCompleted(attempt, result, over, wait, report);
        }

        @Override
        public void probed(UpstreamCall call, AttemptOutcome result, long wait, LimitReport report) {
            results.onProbeCompleted(route(), result, wait, clock.micros() - call.startedAt(), report);
        }

        @Override
        public AttemptOutcome unqueue(UpstreamCall call) {
            queue.remove(call);
            return connecting > 0 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
        }

        @Override
        public void toldToWait(long span) {
            wait.until = Math.max(wait.until, clock.micros() + span);
            results.onRetryAfter(route(), span);
        }

        /**
         * Guards, after a call that broke or fell silent, against the next one on a connection that died with it:
         * that call would end as a reset, where a new connection that fails proves that it never ran.
         */
        @Override
        public void closeIdle() {
            breaks++;
            List.copyOf(idle).forEach(UpstreamConnection::close);
            List.copyOf(resting).forEach(UpstreamConnection::close);
        }

        @Override
        public void late(Message.Attempt attempt) {
            results.onLateDelivery(attempt);
        }

        @Override
        public boolean mayListenOn() {
            // Guards against late answers that take the connections from calls that are not late.
            return listenOn > 0
                    && crowdedOut.isEmpty()
                    && listening.size() < Math.max(1, mostConnections / LISTENING_PART);
        }

        @Override
        public long listensOn(UpstreamConnection connection) {
            listening.add(connection);
            return listenOn;
        }

        /** A connection can carry a call: one that waits for it, or a later one. */
        @Override
        public void free(UpstreamConnection connection) {
            if (!queue.isEmpty()) {
                UpstreamCall call = queue.iterator().next();
                queue.remove(call);
                begin(connection, call);
            } else if (hosts.get(route()) != this || !isListed() || !crowdedOut.isEmpty()) {
                connection.close();
            } else {
                idle.addLast(connection);
                allIdle.add(connection);
                connection.retireAfter(idleSpan);
            }
        }

        @Override
        public boolean rests(UpstreamConnection connection) {
            if (!queue.isEmpty() || hosts.get(route()) != this || !isListed() || !crowdedOut.isEmpty()) {
                return false;
            }
            resting.addLast(connection);
            allIdle.add(connection);
            connection.retireAfter(idleSpan);
            return true;
        }

        @Override
        public void closed(UpstreamConnection connection) {
            idle.remove(connection);
            resting.remove(connection);
            allIdle.remove(connection);
            listening.remove(connection);
        }

        private void begin(UpstreamConnection connection, UpstreamCall call) {
            // Guards against a call that was connecting while its destination told this relay to wait.
            if (clock.micros() < wait.until) {
                call.end(AttemptOutcome.NOT_SENT);
            }
            // Guards against a first call that the host meets only once a handshake is over, as with TLS: by the
            // settings
            // that may take until the time for a connection is up.
            call.endWhatIsLate(clock.micros() + (connection.isNew() ? connectTimeout : 0));
            if (call.isOver()) {
                free(connection);
            } else {
                connection.carry(call);
            }
        }

        /**
         * The idle connection that was used last, of those that a call may still leave on; null where there is none.
         */
        private UpstreamConnection pollIdle() {
            for (UpstreamConnection next = idle.pollLast(); next != null; next = idle.pollLast()) {
                allIdle.remove(next);
                if (next.isFit(idleSpan)) {
                    return next;
                }
                next.close();
            }
            return null;
        }

        /** Sends a call on an idle connection, or on one that is opened for it. */
        private void start(UpstreamCall call) {
            while (!resting.isEmpty() && resting.peekFirst().hasRested()) {
                idle.addLast(resting.pollFirst());
            }
            UpstreamConnection connection = pollIdle();
            if (connection != null) {
                begin(connection, call);
                return;
            }
            queue.add(call);
            // Whichever is sooner takes the call: one that rests still, or a new one.
            UpstreamConnection soon = resting.pollFirst();
            if (soon != null) {
                allIdle.remove(soon);
                soon.freeOnceRested();
            }
            connect(this);
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final ResultListener results;
    private final Bootstrap bootstrap;
    private final boolean reports;
    private final long idleSpan;
    private final int mostConnections;
    private final long listenOn;
    private final long connectTimeout;
    /** Connections that listen for a late answer, the one that has listened longest first. */
    private final Set<UpstreamConnection> listening = new LinkedHashSet<>();

    private final Map<String, DestinationKind> kinds = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<Integer, Wait> waits = new HashMap<>();
    /** Idle connections of all hosts, the one that has stood longest first. */
    private final Set<UpstreamConnection> allIdle = new LinkedHashSet<>();

    private final Map<Message.Attempt, UpstreamCall> calls = new HashMap<>();
    private final Set<UpstreamConnection> connections = new HashSet<>();
    /** Hosts whose calls wait until another connection has closed, as there may be no more. */
    private final Set<Host> crowdedOut = new LinkedHashSet<>();

    /** Calls hosts on an event loop; the settings tell kinds and the time for a connection. */
    public HttpUpstreamClient(
            EventLoop loop, Clock clock, PolicySettings settings, Options options, ResultListener results) {
        this(loop, clock, settings, options, results, NioSocketChannel::new);
    }

    /** As above, over sockets that are made by a factory. */
    HttpUpstreamClient(
            EventLoop loop,
            Clock clock,
            PolicySettings settings,
            Options options,
            ResultListener results,
            ChannelFactory<Channel> sockets) {
        this.loop = loop;
        this.clock = clock;
        this.results = results;
        reports = options.reports();
        // Guards against a call on a connection that the host is just closing: it would end as a reset.
        idleSpan = Math.max(options.idleSpan() / 2, options.idleSpan() - SECOND);
        mostConnections = options.mostConnections();
        listenOn = options.listenOn();
        settings.kinds().forEach(kind -> kinds.put(kind.name(), kind));
        connectTimeout = settings.limits().connectTimeoutMicros();
        bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1000));
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<Endpoint> targets) {
        Set<String> named = new HashSet<>();
        for (Endpoint target : targets) {
            named.add(target.entry().route());
            replace(target);
        }
        if (kind != EndpointListKind.DELTA) {
            hosts.values().stream()
                    .filter(host -> !named.contains(host.route()))
                    .toList()
                    .forEach(this::remove);
        }
    }

    private void replace(Endpoint target) {
        Host old = hosts.get(target.entry().route());
        boolean removed = target.entry().availability() == Availability.REMOVED;
        if (old != null && !removed && old.isAt(target)) {
            old.target = target;
            if (!old.isListed()) {
                stopSending(old);
            }
            return;
        }
        if (old != null) {
            remove(old);
        }
        if (!removed) {
            DestinationKind kind = kinds.get(target.entry().kind());
            boolean apart = kind != null && kind.independentRoutes();
            Wait wait = apart
                    ? old == null ? new Wait() : old.wait
                    : waits.computeIfAbsent(target.entry().destination(), d -> new Wait());
            hosts.put(target.entry().route(), new Host(target, wait, kind == null ? 1 : kind.maxBatchSize()));
        }
    }

    private void remove(Host host) {
        hosts.remove(host.route());
        stopSending(host);
    }

    /** Guards against a first byte after the grace: what still waits for a connection never leaves. */
    private void stopSending(Host host) {
        List.copyOf(host.queue).forEach(call -> {
            host.queue.remove(call);
            call.end(AttemptOutcome.NOT_SENT);
        });
        host.closeIdle();
    }

    @Override
    public void send(String route, List<OutboundAttempt> outgoing) {
        Host host = hosts.get(route);
        if (host == null || !host.isListed()) {
            outgoing.forEach(
                    o -> results.onAttemptCompleted(o.attempt(), AttemptOutcome.NOT_SENT, false, 0, LimitReport.NONE));
            return;
        }
        List<OutboundAttempt> batch = new ArrayList<>();
        int bytes = 0;
        for (OutboundAttempt next : outgoing) {
            int size = UpstreamCall.encodedSize(next.attempt().message());
            // Guards against a call with a larger body than a host takes.
            if (!batch.isEmpty() && (batch.size() >= host.batch || bytes + size > MOST_BODY)) {
                startBatch(host, batch);
                batch = new ArrayList<>();
                bytes = 0;
            }
            batch.add(next);
            bytes += size;
        }
        startBatch(host, batch);
    }

    private void startBatch(Host host, List<OutboundAttempt> batch) {
        UpstreamCall call = new UpstreamCall(host, batch);
        batch.forEach(o -> calls.put(o.attempt(), call));
        host.start(call);
    }

    @Override
    public void probe(String route) {
        Host host = hosts.get(route);
        if (host == null || !host.isListed()) {
            results.onProbeCompleted(route, AttemptOutcome.NOT_SENT, 0, 0, LimitReport.NONE);
            return;
        }
        host.start(new UpstreamCall(host, reports ? "/-/load" : "/-/healthy", PROBE_TIMEOUT));
    }

    @Override
    public void closeIdleConnections(String route) {
        Host host = hosts.get(route);
        if (host != null) {
            host.closeIdle();
        }
    }

    private void connect(Host host) {
        // What closes gives its room to those that were crowded out before: one may not be enough.
        while (connections.size() >= mostConnections && !(allIdle.isEmpty() && listening.isEmpty())) {
            (allIdle.isEmpty() ? listening : allIdle).iterator().next().close();
        }
        // Guards against more descriptors than there are, where nothing is idle: the calls wait.
        if (connections.size() >= mostConnections) {
            crowdedOut.add(host);
            return;
        }
        host.connecting++;
        UpstreamConnection connection = new UpstreamConnection(host);
        ChannelFuture future = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(connection.handlers());
                    }
                })
                .connect(host.target.address());
        connections.add(connection);
        future.channel().closeFuture().addListener(closed -> gone(connection));
        future.addListener(connected -> {
            if (connected.isSuccess()) {
                host.connecting--;
                host.free(connection);
            } else {
                // Guards against a socket that could not even be opened: its failure is told on another thread.
                loop.execute(() -> notConnected(host, connection));
            }
        });
    }

    private void notConnected(Host host, UpstreamConnection connection) {
        host.connecting--;
        if (host.queue.size() > host.connecting) {
            UpstreamCall oldest = host.queue.iterator().next();
            host.queue.remove(oldest);
            oldest.end(AttemptOutcome.CONNECT_FAILED);
        }
        gone(connection);
    }

    /** One connection less: those that wait for room come next. */
    private void gone(UpstreamConnection connection) {
        if (connections.remove(connection)) {
            for (Host host : List.copyOf(crowdedOut)) {
                crowdedOut.remove(host);
                for (int missing = host.queue.size() - host.connecting; missing > 0; missing--) {
                    connect(host);
                }
            }
        }
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        UpstreamCall call = calls.get(attempt);
        if (call != null) {
            call.giveUp(attempt, AttemptOutcome.CANCELLED);
        }
    }
}
