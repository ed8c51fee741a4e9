package pipitstage.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import pipitstage.Logic;
import pipitstage.config.Config;
import pipitstage.engine.Clock;
import pipitstage.engine.Ends;
import pipitstage.engine.Engine;
import pipitstage.engine.Partners;
import pipitstage.engine.Pulse;
import pipitstage.engine.Timers;
import pipitstage.front.Front;
import pipitstage.front.http.ClientServer;
import pipitstage.journal.Journal;
import pipitstage.log.Log;
import pipitstage.partner.http.HostClient;
import pipitstage.platform.Backoff;
import pipitstage.platform.Discovery;
import pipitstage.platform.EndsFile;
import pipitstage.platform.Notices;

/** The relay as a whole: puts its parts together, starts them and ends them. */
final class Relay {
    // After the signal to end; the kill comes no sooner than 3.7 s after it.
    private static final long SERVE_ON_MS = 500; // new connections still come
    private static final long BEGIN_NOTHING_MS = 2200; // calls take about a second
    private static final long GIVE_UP_MS = 3200; // what is still open is left to the journal
    private static final long LOOK_MS = 20;

    private static final long DISCOVERY_PAUSE_MS = 100; // its agent is on this machine
    private static final long LONGEST_PAUSE_MS = 5000; // elsewhere, a whole fleet may ask

    private final EventLoop loop;
    private final Config config;
    private final Engine engine;
    private final Pulse pulse;
    /** Null where ends go to a file. */
    private final Notices notices;
    /** Null where the list of hosts is in the configuration. */
    private final Discovery discovery;
    /** Null where nothing is kept of what can't be delivered. */
    private final Keeping keeping;
    /** Null where nothing is remembered over a restart. */
    private final Remembering remembering;
    /** Null where nothing is spoken of AMQP. */
    private final Amqp amqp;
    /** Null where nothing is spoken of HTTP/2. */
    private final Http2 http2;

    private final List<ClientServer> servers = new ArrayList<>();
    private final List<Front> fronts = new ArrayList<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private long stopAt;

    /** A relay that asks for its configuration to be compared with its file while discovery is silent. */
    Relay(EventLoop loop, Config config, Runnable discoveryIsSilent) throws IOException {
        this.loop = loop;
        this.config = config;
        remembering = config.memory() == null ? null : new Remembering(loop, config);
        Clock clock = remembering == null ? Clock.system() : remembering.clock();
        Timers timers = new LoopTimers(loop);
        Journal journal = new Journal(config.state(), config.diskBytes());
        engine = new Engine(timers, clock, config.settings(), config.period(), journal, Logic::new);
        notices = config.notices() == null
                ? null
                : new Notices(loop, config.notices(), engine::noticeHeard, discoveryIsSilent);
        keeping = config.keeping() == null ? null : new Keeping(loop, timers, clock, engine, config);
        long listenOn = config.keeping() == null ? 0 : config.keeping().listenOn();
        Partners partners = new HostClient(
                loop,
                clock,
                config.settings(),
                new HostClient.Options(config.reports(), config.idleSpan(), config.hostConnections(), listenOn),
                engine);
        Ends ends = notices != null
                ? notices
                : new EndsFile(config.state(), config.diskBytes() / EndsFile.DISK_PART, engine::noticeHeard);
        discovery = config.discovery() == null
                ? null
                : new Discovery(
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
        pulse = new Pulse(timers, clock);
        amqp = config.amqp() == null ? null : new Amqp(loop, clock, pulse, engine, config, journal, ends);
        engine.attach(amqp == null ? partners : amqp.partners(partners), amqp == null ? ends : amqp.ends());
        // Guards against fronts that together hold more connections than there are.
        int listeners = config.listen().size()
                + (amqp == null ? 0 : amqp.listeners())
                + (config.http2() == null ? 0 : config.http2().fronts().size());
        int each = Math.max(1, config.clientConnections() / Math.max(1, listeners));
        for (int i = 0; i < config.listen().size(); i++) {
            servers.add(new ClientServer(engine, clock, pulse, each));
        }
        http2 = config.http2() == null ? null : new Http2(loop, clock, pulse, engine, config, each);
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
                            engine.awaitList(TimeUnit.MILLISECONDS.toMicros(Discovery.PATIENCE_MS));
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
        loop.schedule(engine::freeze, BEGIN_NOTHING_MS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> fronts.forEach(Front::drain), SERVE_ON_MS, TimeUnit.MILLISECONDS);
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
        fronts.forEach(Front::takeIn);
        boolean done = engine.isIdle() || engine.isFrozen() && engine.isQuiet();
        boolean idle = fronts.stream().allMatch(Front::isIdle);
        if (idle && done || late && fronts.stream().noneMatch(Front::isAnswering)) {
            fronts.forEach(Front::stopListening);
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
