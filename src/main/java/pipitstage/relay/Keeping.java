package pipitstage.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import pipitstage.Policy;
import pipitstage.admin.AdminServer;
import pipitstage.admin.UndeliverableDesk;
import pipitstage.config.Config;
import pipitstage.engine.Clock;
import pipitstage.engine.Engine;
import pipitstage.engine.Timers;
import pipitstage.undeliverable.Desk;
import pipitstage.undeliverable.Rules;
import pipitstage.undeliverable.Shelf;
import pipitstage.undeliverable.store.ShelfThread;
import pipitstage.undeliverable.store.SqliteShelf;

/** The keeping of what can't be delivered: store, desk and admin socket. Not loaded where it is off. */
final class Keeping {
    private final Desk desk;
    private final ShelfThread thread;
    private final AdminServer admin;

    Keeping(EventLoop loop, Timers timers, Clock clock, Engine engine, Config config) throws IOException {
        Config.Keeping k = config.keeping();
        Map<String, Rules.Shelved> shelves = new HashMap<>();
        for (Policy.RequestClass type : config.settings().classes()) {
            shelves.put(type.name(), new Rules.Shelved(type, k.shelfLives().get(type.name())));
        }
        try {
            thread = new ShelfThread(SqliteShelf.open(config.state(), k.limit()), loop);
        } catch (Shelf.ShelfException e) {
            throw new IOException(e.getMessage(), e);
        }
        desk = new Desk(
                timers,
                clock,
                engine,
                thread,
                new Desk.Options(
                        shelves,
                        new Rules(k.clockMargin(), k.pause()),
                        k.pace(),
                        (long) (k.limit() * k.high()),
                        (long) (k.limit() * k.low()),
                        k.entries(),
                        k.refuseWhenFull(),
                        k.age()));
        engine.keepBy(desk);
        admin = new AdminServer(config.state(), new UndeliverableDesk(desk, thread, clock, loop));
    }

    void start() {
        desk.start();
    }

    void close() {
        admin.close();
        thread.close();
    }
}
