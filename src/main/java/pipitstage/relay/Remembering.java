package pipitstage.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pipitstage.Policy;
import pipitstage.config.Config;
import pipitstage.engine.Clock;
import pipitstage.engine.Engine;
import pipitstage.engine.Membership;
import pipitstage.engine.Target;
import pipitstage.log.Log;
import pipitstage.remembered.Book;
import pipitstage.remembered.Elapsed;
import pipitstage.remembered.Listing;
import pipitstage.remembered.Lists;
import pipitstage.remembered.Moment;
import pipitstage.remembered.Told;
import pipitstage.remembered.Trust;
import pipitstage.remembered.store.Clocks;
import pipitstage.remembered.store.Saver;

/** What is remembered over a restart: stands between discovery and the engine. Not loaded where it is off. */
final class Remembering implements Membership {
    private static final long LOOK_MS = 1_000;
    private static final long SECOND = 1_000_000;
    /** What changes all the time, such as rates, is saved so often; what discovery tells, each second. */
    private static final long PAUSE = 30 * SECOND;

    private final EventLoop loop;
    private final Config config;
    private final Saver saver;
    private final Book book;
    private final Saver.Left left;
    private final Moment startedAt;
    private final Clock clock;
    private Engine engine;
    private Runnable askForAll = () -> {};
    private long askAt = Lists.NEVER;
    private long savedAt = Long.MIN_VALUE / 2;
    private boolean spansUnknown;

    Remembering(EventLoop loop, Config config) throws IOException {
        this.loop = loop;
        this.config = config;
        Config.Memory memory = config.memory();
        saver = new Saver(new Saver.Options(config.state(), memory.limit(), memory.rate(), memory.sync()), loop);
        left = saver.load(memory.owner());
        startedAt = Clocks.now();
        long time = left.picture() == null
                ? startedAt.wall()
                : Elapsed.goOn(left.picture().time(), left.picture().at(), startedAt);
        if (Math.abs(time - startedAt.wall()) > SECOND) {
            Log.line("remembered: the wall clock is " + (startedAt.wall() - time) / SECOND
                    + " s from the relay's own time, which goes on as it was");
        }
        clock = Clock.from(time);
        saver.start(left.picture(), startedAt, time);
        spansUnknown = left.picture() != null
                && Elapsed.between(left.picture().at(), startedAt).doubtful();
        book = new Book(
                new Book.Rules(
                        new Trust(memory.halfLife()),
                        memory.settle(),
                        memory.margin(),
                        config.settings().rules().warmUp(),
                        config.discovery() == null),
                memory.owner());
    }

    /** The relay's own time, which goes on over a restart. */
    Clock clock() {
        return clock;
    }

    /** Starts the engine with what is remembered. */
    void start(Engine starts, Runnable asksForAll) {
        engine = starts;
        askForAll = asksForAll;
        Told others = config.known().isEmpty() ? null : told(config.knownKind(), config.knownVersion(), config.known());
        Book.Opening opening = book.open(left.picture(), left.notes(), left.whole(), others, startedAt, clock.micros());
        opening.log().forEach(Log::line);
        if (spansUnknown) {
            engine.spansUnknown();
        }
        engine.observeBy(event -> take(book.saw(event, clock.micros())));
        engine.start(config.knownKind(), opening.revision(), targets(opening.list()), opening.remembered());
        look();
    }

    /** Another discovery tells from now on. */
    void moved() {
        book.moved();
    }

    @Override
    public void list(Policy.ListKind kind, long version, List<Target> targets) {
        take(book.heard(told(kind, version, targets), clock.micros()));
    }

    private void take(Book.Heard heard) {
        heard.log().forEach(Log::line);
        saver.note(heard.notes(), clock.micros());
        askAt = Math.min(askAt, heard.askAt());
        if (heard.passOn() != null) {
            // Guards against a list in the midst of what the engine is just telling.
            loop.execute(() -> {
                Told told = heard.passOn();
                engine.list(told.kind(), told.revision(), targets(told.entries()));
                engine.remembered(heard.remembered());
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
            askAt = Lists.NEVER;
            askForAll.run();
        }
        if ((book.hasChanged() || saver.wantsPicture() || now - savedAt >= PAUSE) && saver.isFree(now)) {
            save(now);
        }
        loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void save(long now) {
        if (saver.save(book.picture(Clocks.now(), now, engine.standings()), now, book::notSaved)) {
            book.saving();
            savedAt = now;
        }
    }

    /** Saves what is known at a planned end. */
    void close() {
        save(clock.micros());
        saver.close();
    }

    private static Told told(Policy.ListKind kind, long version, List<Target> targets) {
        return new Told(
                kind,
                version,
                targets.stream()
                        .map(t -> new Listing(t.listed(), text(t.address())))
                        .toList());
    }

    private static String text(InetSocketAddress address) {
        String host = address.getHostString();
        return (address.getAddress() instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static List<Target> targets(List<Listing> list) {
        return list.stream()
                .map(l -> new Target(l.listed(), Target.address(l.address())))
                .toList();
    }
}
