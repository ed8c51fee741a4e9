package loftflow.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loftflow.config.Config;
import loftflow.engine.Clock;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.EndpointListListener;
import loftflow.log.Log;
import loftflow.policy.api.EndpointListKind;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.DowntimeEstimate;
import loftflow.warmstart.EndpointHistory;
import loftflow.warmstart.EndpointListReconciler;
import loftflow.warmstart.ListUpdate;
import loftflow.warmstart.ListedEndpoint;
import loftflow.warmstart.TrustPolicy;
import loftflow.warmstart.store.SnapshotWriter;
import loftflow.warmstart.store.SystemClocks;

/** What is remembered over a restart: stands between discovery and the engine. Not loaded where it is off. */
final class WarmStartModule implements EndpointListListener {
    private static final long LOOK_MS = 1_000;
    private static final long SECOND = 1_000_000;
    /** What changes all the time, such as rates, is saved so often; what discovery tells, each second. */
    private static final long PAUSE = 30 * SECOND;

    private final EventLoop loop;
    private final Config config;
    private final SnapshotWriter saver;
    private final EndpointHistory book;
    private final SnapshotWriter.Left left;
    private final ClockReading startedAt;
    private final Clock clock;
    private DeliveryEngine engine;
    private Runnable askForAll = () -> {};
    private long askAt = EndpointListReconciler.NEVER;
    private long savedAt = Long.MIN_VALUE / 2;
    private boolean spansUnknown;

    WarmStartModule(EventLoop loop, Config config) throws IOException {
        this.loop = loop;
        this.config = config;
        Config.Memory memory = config.memory();
        saver = new SnapshotWriter(
                new SnapshotWriter.Options(config.state(), memory.limit(), memory.rate(), memory.sync()), loop);
        left = saver.load(memory.owner());
        startedAt = SystemClocks.now();
        long time = left.picture() == null
                ? startedAt.wall()
                : DowntimeEstimate.goOn(left.picture().time(), left.picture().at(), startedAt);
        if (Math.abs(time - startedAt.wall()) > SECOND) {
            Log.line("remembered: the wall clock is " + (startedAt.wall() - time) / SECOND
                    + " s from the relay's own time, which goes on as it was");
        }
        clock = Clock.from(time);
        saver.start(left.picture(), startedAt, time);
        spansUnknown = left.picture() != null
                && DowntimeEstimate.between(left.picture().at(), startedAt).doubtful();
        book = new EndpointHistory(
                new EndpointHistory.Rules(
                        new TrustPolicy(memory.halfLife()),
                        memory.settle(),
                        memory.margin(),
                        config.settings().rules().warmUpMicros(),
                        config.discovery() == null),
                memory.owner());
    }

    /** The relay's own time, which goes on over a restart. */
    Clock clock() {
        return clock;
    }

    /** Starts the engine with what is remembered. */
    void start(DeliveryEngine starts, Runnable asksForAll) {
        engine = starts;
        askForAll = asksForAll;
        ListUpdate others =
                config.known().isEmpty() ? null : told(config.knownKind(), config.knownVersion(), config.known());
        EndpointHistory.Opening opening =
                book.open(left.picture(), left.notes(), left.whole(), others, startedAt, clock.micros());
        opening.log().forEach(Log::line);
        if (spansUnknown) {
            engine.treatKeyWindowsAsExpired();
        }
        engine.setEventObserver(event -> take(book.saw(event, clock.micros())));
        engine.start(config.knownKind(), opening.revision(), targets(opening.list()), opening.remembered());
        look();
    }

    /** Another discovery tells from now on. */
    void moved() {
        book.moved();
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> targets) {
        take(book.heard(told(kind, version, targets), clock.micros()));
    }

    private void take(EndpointHistory.Heard heard) {
        heard.log().forEach(Log::line);
        saver.note(heard.notes(), clock.micros());
        askAt = Math.min(askAt, heard.askAt());
        if (heard.passOn() != null) {
            // Guards against a list in the midst of what the engine is just telling.
            loop.execute(() -> {
                ListUpdate told = heard.passOn();
                engine.onEndpointList(told.kind(), told.revision(), targets(told.entries()));
                engine.restoreRoutes(heard.remembered());
            });
        }
    }

    private void look() {
        long now = clock.micros();
        saver.look(now);
        if (book.nextDue() <= now) {
            take(book.due(now));
        }
        if (askAt <= now) {
            askAt = EndpointListReconciler.NEVER;
            askForAll.run();
        }
        if ((book.hasChanged() || saver.wantsPicture() || now - savedAt >= PAUSE) && saver.isFree(now)) {
            save(now);
        }
        loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void save(long now) {
        if (saver.save(book.picture(SystemClocks.now(), now, engine.routeSnapshots()), now, book::notSaved)) {
            book.saving();
            savedAt = now;
        }
    }

    /** Saves what is known at a planned end. */
    void close() {
        save(clock.micros());
        saver.close();
    }

    private static ListUpdate told(EndpointListKind kind, long version, List<Endpoint> targets) {
        return new ListUpdate(
                kind,
                version,
                targets.stream()
                        .map(t -> new ListedEndpoint(t.entry(), text(t.address())))
                        .toList());
    }

    private static String text(InetSocketAddress address) {
        String host = address.getHostString();
        return (address.getAddress() instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static List<Endpoint> targets(List<ListedEndpoint> list) {
        return list.stream()
                .map(l -> new Endpoint(l.listed(), Endpoint.address(l.address())))
                .toList();
    }
}
