package loftflow.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loftflow.completion.CompletionLog;
import loftflow.completion.HttpCompletionNotifier;
import loftflow.config.Config;
import loftflow.discovery.Backoff;
import loftflow.discovery.EndpointWatcher;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Timers;
import loftflow.engine.UpstreamClient;
import loftflow.journal.Journal;
import loftflow.listener.Listener;
import loftflow.listener.http.HttpListener;
import loftflow.log.Log;
import loftflow.policy.DefaultDeliveryPolicy;
import loftflow.upstream.http.HttpUpstreamClient;

/** The relay as a whole: puts its parts together, starts them and ends them. */
final class RelayServer {
    // After the signal to end; the kill comes no sooner than 3.7 s after it.
    private static final long SERVE_ON_MS = 500; // new connections still come
    private static final long BEGIN_NOTHING_MS = 2200; // calls take about a second
    private static final long GIVE_UP_MS = 3200; // what is still open is left to the journal
    private static final long LOOK_MS = 20;

    private static final long DISCOVERY_PAUSE_MS = 100; // its agent is on this machine
    private static final long LONGEST_PAUSE_MS = 5000; // elsewhere, a whole fleet may ask

    private final EventLoop loop;
    private final Config config;
    private final DeliveryEngine engine;
    private final EventLoopLag pulse;
    /** Null where ends go to a file. */
    private final HttpCompletionNotifier notices;
    /** Null where the list of hosts is in the configuration. */
    private final EndpointWatcher discovery;
    /** Null where nothing is kept of what can't be delivered. */
    private final DeadLetterModule keeping;
    /** Null where nothing is remembered over a restart. */
    private final WarmStartModule remembering;
    /** Null where nothing is spoken of AMQP. */
    private final AmqpModule amqp;
    /** Null where nothing is spoken of HTTP/2. */
    private final Http2Module http2;

    private final List<HttpListener> servers = new ArrayList<>();
    private final List<Listener> fronts = new ArrayList<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private long stopAt;

    /** A relay that asks for its configuration to be compared with its file while discovery is silent. */
    RelayServer(EventLoop loop, Config config, Runnable discoveryIsSilent) throws IOException {
        this.loop = loop;
        this.config = config;
        remembering = config.memory() == null ? null : new WarmStartModule(loop, config);
        Clock clock = remembering == null ? Clock.system() : remembering.clock();
        Timers timers = new EventLoopTimers(loop);
        Journal journal = new Journal(config.state(), config.diskBytes());
        engine = new DeliveryEngine(
                timers, clock, config.settings(), config.period(), journal, DefaultDeliveryPolicy::new);
        notices = config.notices() == null
                ? null
                : new HttpCompletionNotifier(
                        loop, config.notices(), engine::onCompletionAcknowledged, discoveryIsSilent);
        keeping = config.keeping() == null ? null : new DeadLetterModule(loop, timers, clock, engine, config);
        long listenOn = config.keeping() == null ? 0 : config.keeping().listenOn();
        UpstreamClient partners = new HttpUpstreamClient(
                loop,
                clock,
                config.settings(),
                new HttpUpstreamClient.Options(config.reports(), config.idleSpan(), config.hostConnections(), listenOn),
                engine);
        CompletionNotifier ends = notices != null
                ? notices
                : new CompletionLog(
                        config.state(), config.diskBytes() / CompletionLog.DISK_PART, engine::onCompletionAcknowledged);
        discovery = config.discovery() == null
                ? null
                : new EndpointWatcher(
                        loop,
                        config.discovery(),
                        remembering == null ? engine : remembering,
                        discoveryIsSilent,
                        remembering == null
                                ? Backoff.steady(DISCOVERY_PAUSE_MS)
                                : Backoff.growing(
                                        DISCOVERY_PAUSE_MS,
                                        LONGEST_PAUSE_MS,
                                        config.settings().seed()));
        pulse = new EventLoopLag(timers, clock);
        amqp = config.amqp() == null ? null : new AmqpModule(loop, clock, pulse, engine, config, journal, ends);
        engine.attach(amqp == null ? partners : amqp.partners(partners), amqp == null ? ends : amqp.ends());
        // Guards against fronts that together hold more connections than there are.
        int listeners = config.listen().size()
                + (amqp == null ? 0 : amqp.listeners())
                + (config.http2() == null ? 0 : config.http2().fronts().size());
        int each = Math.max(1, config.clientConnections() / Math.max(1, listeners));
        for (int i = 0; i < config.listen().size(); i++) {
            servers.add(new HttpListener(engine, clock, pulse, each));
        }
        http2 = config.http2() == null ? null : new Http2Module(loop, clock, pulse, engine, config, each);
        fronts.addAll(servers);
        if (http2 != null) {
            fronts.addAll(http2.fronts());
        }
        if (amqp != null) {
            fronts.addAll(amqp.fronts());
        }
    }

    /** Resumes what the journal holds and serves. */
    void start() throws IOException {
        try {
            loop.submit(() -> {
                        pulse.start();
                        if (notices != null) {
                            notices.start();
                        }
                        if (remembering != null) {
                            remembering.start(engine, discovery == null ? () -> {} : discovery::askForAll);
                        } else {
                            engine.start(config.knownKind(), config.knownVersion(), config.known());
                        }
                        if (discovery != null) {
                            engine.holdUntilEndpointList(TimeUnit.MILLISECONDS.toMicros(EndpointWatcher.PATIENCE_MS));
                        }
                        if (keeping != null) {
                            keeping.start();
                        }
                        if (discovery != null) {
                            discovery.start();
                        }
                    })
                    .sync();
            for (int i = 0; i < servers.size(); i++) {
                Log.line("serving on "
                        + servers.get(i)
                                .listen(loop, config.listen().get(i))
                                .sync()
                                .channel()
                                .localAddress());
            }
            if (http2 != null) {
                http2.start();
            }
            if (amqp != null) {
                amqp.start();
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    /** Takes over the addresses of discovery and for notices; everything else is read at the start alone. */
    void reload(Config next) {
        loop.execute(() -> {
            if (discovery != null && next.discovery() != null) {
                Log.line("discovery is at " + next.discovery());
                discovery.moveTo(next.discovery());
                if (remembering != null) {
                    remembering.moved();
                }
            }
            if (notices != null && next.notices() != null) {
                notices.moveTo(next.notices());
            }
        });
    }

    /** Ends service without breaking a promise; returns when the process may end. */
    void stop() {
        stopAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GIVE_UP_MS);
        loop.schedule(engine::quiesce, BEGIN_NOTHING_MS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> fronts.forEach(Listener::drain), SERVE_ON_MS, TimeUnit.MILLISECONDS);
        loop.schedule(this::endWhenDone, SERVE_ON_MS, TimeUnit.MILLISECONDS);
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endWhenDone() {
        boolean late = System.nanoTime() - stopAt >= 0;
        // What the last pass has not read is answered still, if only as refused.
        fronts.forEach(Listener::takeIn);
        boolean done = engine.isIdle() || engine.isQuiescing() && engine.hasNothingInFlight();
        boolean idle = fronts.stream().allMatch(Listener::isIdle);
        if (idle && done || late && fronts.stream().noneMatch(Listener::isAnswering)) {
            fronts.forEach(Listener::stopListening);
            if (keeping != null) {
                keeping.close();
            }
            if (remembering != null) {
                remembering.close();
            }
            stopped.countDown();
        } else {
            loop.schedule(this::endWhenDone, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
