package loftflow.upstream.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Clock;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.log.Log;
import loftflow.memory.MemoryBudget;
import loftflow.memory.MemoryLimits;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PolicySettings;
import loftflow.protocol.HostProtocol;

/**
 * Calls hosts over pooled HTTP/1.1 connections and reports the outcome of each attempt. It does not retry: a call is
 * written at most once, to one connection. Must be used on the event loop.
 */
public final class HttpUpstreamClient implements UpstreamClient {
    private static final long PROBE_TIMEOUT_MICROS = 1_500_000;
    /** Idle connections are closed this long before the host's idle timeout, or at half of it if that is later. */
    private static final long MAX_IDLE_MARGIN_MICROS = 1_000_000;

    /** What each connection may hold even if the others have used up the memory. */
    private static final int GUARANTEED_BYTES = 4 << 10;

    private static final long MICROS_PER_MILLI = 1000;
    private static final int DEFAULT_MAX_BATCH_SIZE = 1;

    /**
     * Options of the client.
     *
     * @param hasLoadReports whether hosts report their load, so that probes request a load report
     * @param hostIdleTimeoutMicros the idle time after which a host closes a connection
     * @param maxConnections the limit on the number of connections to all hosts
     * @param lateResponseMicros how long a late response is awaited after a timeout; 0 to not await it
     * @param reuseDelayMicros how long a connection is quiet after a response before it carries the next call, while
     *     the host has few connections
     */
    public record Options(
            boolean hasLoadReports,
            long hostIdleTimeoutMicros,
            int maxConnections,
            long lateResponseMicros,
            long reuseDelayMicros) {
        /** A host or proxy that repeats a response usually does so within this time. */
        private static final long DEFAULT_REUSE_DELAY_MICROS = 100_000;

        /** Creates options with the default reuse delay. */
        public Options(
                boolean hasLoadReports, long hostIdleTimeoutMicros, int maxConnections, long lateResponseMicros) {
            this(hasLoadReports, hostIdleTimeoutMicros, maxConnections, lateResponseMicros, DEFAULT_REUSE_DELAY_MICROS);
        }
    }

    private final UpstreamEnvironment environment;
    private final ResultListener results;
    private final boolean hasLoadReports;
    private final Map<String, DestinationKind> kinds = new HashMap<>();
    private final Map<String, HostConnectionPool> pools = new HashMap<>();
    private final Map<Integer, RetryAfterDeadline> retryAfterByDestination = new HashMap<>();
    private final Map<Message.Attempt, UpstreamCall> openCalls = new HashMap<>();
    private final OutstandingCalls outstandingCalls = new OutstandingCalls();

    /** Creates a client on an event loop; the settings provide the destination kinds and the connect timeout. */
    public HttpUpstreamClient(
            EventLoop loop, Clock clock, PolicySettings settings, Options options, ResultListener results) {
        this(loop, clock, settings, options, results, NioSocketChannel::new);
    }

    /** Creates a client that obtains its sockets from a factory. */
    HttpUpstreamClient(
            EventLoop loop,
            Clock clock,
            PolicySettings settings,
            Options options,
            ResultListener results,
            ChannelFactory<Channel> sockets) {
        this.results = results;
        hasLoadReports = options.hasLoadReports();
        settings.kinds().forEach(kind -> kinds.put(kind.name(), kind));
        long connectTimeoutMicros = settings.limits().connectTimeoutMicros();
        int connectTimeoutMillis = (int) Math.max(1, connectTimeoutMicros / MICROS_PER_MILLI);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
        environment = new UpstreamEnvironment(
                loop,
                clock,
                bootstrap,
                connectTimeoutMicros,
                idleTimeoutMicros(options.hostIdleTimeoutMicros()),
                options.lateResponseMicros(),
                new ConnectionRegistry(options.maxConnections()),
                TimeUnit.MICROSECONDS.toNanos(options.reuseDelayMicros()),
                new SuspectHosts(System::nanoTime),
                new ConnectionCloseLog(System::nanoTime, Log::line),
                openCalls,
                outstandingCalls,
                new MemoryBudget(MemoryLimits.ofProcess().hostResponseBytes(), GUARANTEED_BYTES),
                new MemoryBudget(MemoryLimits.ofProcess().revocableOutcomeBytes(), GUARANTEED_BYTES),
                results);
    }

    /**
     * Returns the relay's idle timeout, which is below the host's: a call on a connection that the host is closing
     * would end as a reset.
     */
    private static long idleTimeoutMicros(long hostIdleTimeoutMicros) {
        return Math.max(hostIdleTimeoutMicros / 2, hostIdleTimeoutMicros - MAX_IDLE_MARGIN_MICROS);
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<Endpoint> endpoints) {
        Set<String> listedRoutes = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            listedRoutes.add(endpoint.entry().route());
            addOrReplace(endpoint);
        }
        if (kind != EndpointListKind.DELTA) {
            pools.values().stream()
                    .filter(pool -> !listedRoutes.contains(pool.route()))
                    .toList()
                    .forEach(this::remove);
        }
    }

    private void addOrReplace(Endpoint endpoint) {
        HostConnectionPool previous = pools.get(endpoint.entry().route());
        boolean isRemoval = endpoint.entry().availability() == Availability.REMOVED;
        if (previous != null && !isRemoval && previous.matches(endpoint)) {
            previous.update(endpoint);
            return;
        }
        if (previous != null) {
            remove(previous);
        }
        if (!isRemoval) {
            add(endpoint, previous);
        }
    }

    /**
     * Adds a pool for an endpoint.
     *
     * @param previous the pool that it replaces, whose back-off it inherits if routes are independent; null for none
     */
    private void add(Endpoint endpoint, HostConnectionPool previous) {
        DestinationKind kind = kinds.get(endpoint.entry().kind());
        RetryAfterDeadline retryAfter;
        if (kind == null || !kind.independentRoutes()) {
            retryAfter = retryAfterByDestination.computeIfAbsent(
                    endpoint.entry().destination(), destination -> new RetryAfterDeadline());
        } else if (previous == null) {
            retryAfter = new RetryAfterDeadline();
        } else {
            retryAfter = previous.retryAfter();
        }
        int maxBatchSize = kind == null ? DEFAULT_MAX_BATCH_SIZE : kind.maxBatchSize();
        pools.put(endpoint.entry().route(), new HostConnectionPool(environment, endpoint, retryAfter, maxBatchSize));
    }

    private void remove(HostConnectionPool pool) {
        pools.remove(pool.route());
        pool.remove();
    }

    @Override
    public void send(String route, List<OutboundAttempt> outgoing) {
        HostConnectionPool pool = pools.get(route);
        if (pool == null || !pool.isListed()) {
            outgoing.forEach(outbound -> results.onAttemptCompleted(
                    outbound.attempt(), AttemptOutcome.NOT_SENT, false, 0, LimitReport.NONE));
            return;
        }
        List<OutboundAttempt> batch = new ArrayList<>();
        int batchBytes = 0;
        for (OutboundAttempt next : outgoing) {
            if (!next.mayShareCall()) {
                startCall(pool, List.of(next));
                continue;
            }
            int sizeBytes = BatchCodec.encodedSizeBytes(next.attempt().message());
            boolean isFull =
                    batch.size() >= pool.maxBatchSize() || batchBytes + sizeBytes > HostProtocol.MAX_BODY_BYTES;
            if (!batch.isEmpty() && isFull) {
                startCall(pool, batch);
                batch = new ArrayList<>();
                batchBytes = 0;
            }
            batch.add(next);
            batchBytes += sizeBytes;
        }
        if (!batch.isEmpty()) {
            startCall(pool, batch);
        }
    }

    private void startCall(HostConnectionPool pool, List<OutboundAttempt> batch) {
        UpstreamCall call = new UpstreamCall(pool, batch);
        batch.forEach(outbound -> openCalls.put(outbound.attempt(), call));
        outstandingCalls.add(call);
        pool.start(call);
    }

    @Override
    public void endCalls(String messageId) {
        outstandingCalls.of(messageId).forEach(call -> call.endForRepeat(messageId));
    }

    @Override
    public boolean isOutstanding(String messageId) {
        return !outstandingCalls.of(messageId).isEmpty();
    }

    @Override
    public void probe(String route) {
        HostConnectionPool pool = pools.get(route);
        if (pool == null || !pool.isListed()) {
            results.onProbeCompleted(route, AttemptOutcome.NOT_SENT, 0, 0, LimitReport.NONE);
            return;
        }
        String path = hasLoadReports ? HostProtocol.LOAD_PATH : HostProtocol.HEALTH_PATH;
        pool.start(new UpstreamCall(pool, path, PROBE_TIMEOUT_MICROS));
    }

    @Override
    public void closeIdleConnections(String route) {
        HostConnectionPool pool = pools.get(route);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        UpstreamCall call = openCalls.get(attempt);
        if (call != null) {
            call.abandon(attempt, AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void readPending() {
        Set.copyOf(openCalls.values()).forEach(UpstreamCall::readPending);
    }
}
