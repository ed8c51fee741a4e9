package loftflow.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loftflow.clock.SystemClocks;
import loftflow.completion.CompletionLog;
import loftflow.completion.HttpCompletionNotifier;
import loftflow.config.Config;
import loftflow.discovery.Backoff;
import loftflow.discovery.EndpointWatcher;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Timers;
import loftflow.engine.UpstreamClient;
import loftflow.journal.Journal;
import loftflow.listener.Listener;
import loftflow.listener.http.HttpListener;
import loftflow.log.Log;
import loftflow.membership.WithdrawnEndpoints;
import loftflow.memory.MemoryBudget;
import loftflow.memory.MemoryLimits;
import loftflow.policy.DefaultDeliveryPolicy;
import loftflow.upstream.http.HttpUpstreamClient;

/** Assembles the components of the relay, starts them, applies reloaded addresses and shuts them down. */
final class RelayServer {
    /**
     * Delay before a failed request to the discovery agent is retried, or the initial delay of an exponential backoff.
     * It is short because the agent runs on the same machine.
     */
    private static final long DISCOVERY_RETRY_MILLIS = 100;

    private static final long STORE_RETRY_MILLIS = 50;

    private final EventLoop eventLoop;
    private final Config config;
    private final Runnable onDiscoveryUnresponsive;
    /** Null if warm start is off. */
    private final WarmStartModule warmStart;

    private final RelayClock relayClock;
    private final Clock clock;
    private final EventLoopLag eventLoopLag;
    private final DeliveryEngine engine;
    /** Null if completions are written to a file. */
    private final HttpCompletionNotifier httpCompletionNotifier;
    /** Null if there is no dead-letter store. */
    private final DeadLetterModule deadLetters;
    /** Null if the configuration contains the full endpoint list. */
    /** Null without discovery, and with a warm start, which stores lists itself. */
    private final WithdrawnEndpoints withdrawnEndpoints;

    private final EndpointWatcher endpointWatcher;
    /** Null if AMQP is off. */
    private final AmqpModule amqp;
    /** Null if HTTP/2 is off. */
    private final Http2Module http2;

    private final List<HttpListener> httpListeners = new ArrayList<>();
    private final List<Listener> listeners = new ArrayList<>();

    /**
     * Creates a relay and opens its files; {@link #start} starts it.
     *
     * @param onDiscoveryUnresponsive called on the event loop when the discovery agent does not respond
     * @throws IOException if a file can't be opened
     */
    RelayServer(EventLoop eventLoop, Config config, Runnable onDiscoveryUnresponsive) throws IOException {
        this.eventLoop = eventLoop;
        this.config = config;
        this.onDiscoveryUnresponsive = onDiscoveryUnresponsive;
        warmStart = config.warmStart() == null ? null : new WarmStartModule(eventLoop, config);
        relayClock = warmStart != null
                ? warmStart.relayClock()
                : RelayClock.open(config.stateDirectory(), SystemClocks.nowByMonotonicClock());
        relayClock.store();
        clock = relayClock.clock();
        Timers timers = new EventLoopTimers(eventLoop);
        Journal journal = new Journal(config.stateDirectory(), config.diskBytes());
        journal.retryFailedWritesBy(this::scheduleStoreRetry);
        engine = new DeliveryEngine(
                timers, clock, config.settings(), config.roundPeriodMicros(), journal, DefaultDeliveryPolicy::new);
        httpCompletionNotifier = config.completionAddress() == null ? null : createHttpCompletionNotifier();
        deadLetters =
                config.deadLetters() == null ? null : new DeadLetterModule(eventLoop, timers, clock, engine, config);
        UpstreamClient httpUpstreams = createHttpUpstreamClient();
        CompletionNotifier notifier = httpCompletionNotifier != null ? httpCompletionNotifier : createCompletionLog();
        withdrawnEndpoints = config.discoveryAddress() == null || warmStart != null
                ? null
                : new WithdrawnEndpoints(config.stateDirectory(), engine, this::scheduleStoreRetry);
        endpointWatcher = config.discoveryAddress() == null ? null : createEndpointWatcher();
        eventLoopLag = new EventLoopLag(timers, clock, RelayServer::logStall);
        amqp = config.amqp() == null
                ? null
                : new AmqpModule(eventLoop, clock, eventLoopLag, engine, config, journal, notifier);
        engine.attach(
                amqp == null ? httpUpstreams : amqp.upstreamClient(httpUpstreams),
                amqp == null ? notifier : amqp.completionNotifier());
        int maxConnections = maxConnectionsPerListener();
        MemoryBudget requestMemory =
                new MemoryBudget(MemoryLimits.ofProcess().clientRequestBytes(), HttpListener.GUARANTEED_BYTES);
        for (int i = 0; i < config.listenAddresses().size(); i++) {
            httpListeners.add(new HttpListener(engine, clock, eventLoopLag, maxConnections, requestMemory));
        }
        http2 = config.http2() == null
                ? null
                : new Http2Module(eventLoop, clock, eventLoopLag, engine, config, maxConnections);
        collectListeners();
    }

    /** Stores the clock, if necessary once the folder can be written. */
    private void storeClock() {
        if (!relayClock.store()) {
            scheduleStoreRetry(this::storeClock);
        }
    }

    private void scheduleStoreRetry(Runnable retry) {
        eventLoop.schedule(retry, STORE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void logStall(long stalledMicros) {
        Log.line("server: event loop stalled millis=" + TimeUnit.MICROSECONDS.toMillis(stalledMicros));
    }

    private HttpCompletionNotifier createHttpCompletionNotifier() {
        return new HttpCompletionNotifier(
                eventLoop, config.completionAddress(), engine::onCompletionAcknowledged, onDiscoveryUnresponsive);
    }

    private CompletionLog createCompletionLog() throws IOException {
        return new CompletionLog(
                config.stateDirectory(),
                config.diskBytes() / CompletionLog.DISK_DIVISOR,
                engine::onCompletionAcknowledged,
                this::scheduleStoreRetry);
    }

    private HttpUpstreamClient createHttpUpstreamClient() {
        long lateResponseWindowMicros =
                config.deadLetters() == null ? 0 : config.deadLetters().lateResponseWindowMicros();
        HttpUpstreamClient.Options options = new HttpUpstreamClient.Options(
                config.isLoadReportEnabled(),
                config.upstreamIdleTimeoutMicros(),
                config.maxUpstreamConnections(),
                lateResponseWindowMicros);
        return new HttpUpstreamClient(eventLoop, clock, config.settings(), options, engine);
    }

    private EndpointWatcher createEndpointWatcher() {
        Backoff backoff = warmStart == null
                ? Backoff.constant(DISCOVERY_RETRY_MILLIS)
                : Backoff.exponential(
                        DISCOVERY_RETRY_MILLIS,
                        EndpointWatcher.MAX_RETRY_DELAY_MILLIS,
                        config.settings().seed());
        return new EndpointWatcher(
                eventLoop,
                config.discoveryAddress(),
                warmStart == null ? withdrawnEndpoints : warmStart,
                onDiscoveryUnresponsive,
                backoff);
    }

    /** Returns each listener's equal share of the limit on client connections; at least 1. */
    private int maxConnectionsPerListener() {
        int listenerCount = config.listenAddresses().size()
                + (amqp == null ? 0 : amqp.listenerCount())
                + (config.http2() == null ? 0 : config.http2().listeners().size());
        return Math.max(1, config.maxClientConnections() / Math.max(1, listenerCount));
    }

    private void collectListeners() {
        listeners.addAll(httpListeners);
        if (http2 != null) {
            listeners.addAll(http2.listeners());
        }
        if (amqp != null) {
            listeners.addAll(amqp.listeners());
        }
    }

    /**
     * Resumes the messages in the journal and starts the listeners; returns once every listener is bound.
     *
     * @throws IOException if the thread is interrupted; a failure to bind is rethrown unchanged
     */
    void start() throws IOException {
        try {
            eventLoop.submit(this::startComponents).sync();
            startListeners();
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void startComponents() {
        eventLoopLag.start();
        storeClock();
        if (httpCompletionNotifier != null) {
            httpCompletionNotifier.start();
        }
        startEngine();
        if (endpointWatcher != null) {
            engine.holdUntilEndpointList(TimeUnit.MILLISECONDS.toMicros(EndpointWatcher.RESPONSE_TIMEOUT_MILLIS));
        }
        if (deadLetters != null) {
            deadLetters.start();
        }
        if (endpointWatcher != null) {
            endpointWatcher.start();
        }
    }

    private void startEngine() {
        if (warmStart != null) {
            warmStart.start(engine, endpointWatcher == null ? () -> {} : endpointWatcher::requestFullList);
        } else {
            if (relayClock.isDowntimeUnknown()) {
                engine.treatKeyWindowsAsExpired();
            }
            List<Endpoint> known = withdrawnEndpoints == null
                    ? config.knownEndpoints()
                    : withdrawnEndpoints.startWith(config.knownEndpoints());
            engine.start(config.knownListKind(), config.knownListVersion(), known);
        }
    }

    private void startListeners() throws InterruptedException {
        for (int i = 0; i < httpListeners.size(); i++) {
            InetSocketAddress address = config.listenAddresses().get(i);
            ListenerBinding.awaitAndLog(httpListeners.get(i).listen(eventLoop, address), "serving on");
        }
        if (http2 != null) {
            http2.start();
        }
        if (amqp != null) {
            amqp.start();
        }
    }

    /**
     * Applies the addresses of the discovery agent and of the completion receiver from a new configuration. All other
     * settings take effect at a restart only. May be called on any thread.
     */
    void reload(Config newConfig) {
        eventLoop.execute(() -> {
            if (endpointWatcher != null && newConfig.discoveryAddress() != null) {
                moveDiscovery(newConfig.discoveryAddress());
            }
            if (httpCompletionNotifier != null && newConfig.completionAddress() != null) {
                httpCompletionNotifier.moveTo(newConfig.completionAddress());
            }
        });
    }

    private void moveDiscovery(InetSocketAddress address) {
        Log.line("discovery: agent address configured address=" + address);
        endpointWatcher.moveTo(address);
        if (warmStart != null) {
            warmStart.onDiscoveryMoved();
        }
    }

    /** Shuts the relay down gracefully and returns when the process may end. */
    void shutDown() {
        new GracefulShutdown(eventLoop, engine, listeners, this::closeStores).run();
    }

    private void closeStores() {
        if (deadLetters != null) {
            deadLetters.close();
        }
        if (warmStart != null) {
            warmStart.close();
        }
    }
}
