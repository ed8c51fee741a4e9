package loftflow.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import loftflow.admin.AdminServer;
import loftflow.admin.DeadLetterCommands;
import loftflow.config.Config;
import loftflow.deadletter.DeadLetterService;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.RedrivePolicy;
import loftflow.deadletter.store.DeadLetterExecutor;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.engine.Clock;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Timers;
import loftflow.policy.api.RequestClass;

/** The keeping of what can't be delivered: store, desk and admin socket. Not loaded where it is off. */
final class DeadLetterModule {
    private final DeadLetterService desk;
    private final DeadLetterExecutor thread;
    private final AdminServer admin;

    DeadLetterModule(EventLoop loop, Timers timers, Clock clock, DeliveryEngine engine, Config config)
            throws IOException {
        Config.Keeping k = config.keeping();
        Map<String, RedrivePolicy.Shelved> shelves = new HashMap<>();
        for (RequestClass type : config.settings().classes()) {
            shelves.put(
                    type.name(), new RedrivePolicy.Shelved(type, k.shelfLives().get(type.name())));
        }
        try {
            thread = new DeadLetterExecutor(SqliteDeadLetterStore.open(config.state(), k.limit()), loop);
        } catch (DeadLetterStore.ShelfException e) {
            throw new IOException(e.getMessage(), e);
        }
        desk = new DeadLetterService(
                timers,
                clock,
                engine,
                thread,
                new DeadLetterService.Options(
                        shelves,
                        new RedrivePolicy(k.clockMargin(), k.pause()),
                        k.pace(),
                        (long) (k.limit() * k.high()),
                        (long) (k.limit() * k.low()),
                        k.entries(),
                        k.refuseWhenFull(),
                        k.age()));
        engine.setDeadLetterSink(desk);
        admin = new AdminServer(config.state(), new DeadLetterCommands(desk, thread, clock, loop));
    }

    void start() {
        desk.start();
    }

    void close() {
        admin.close();
        thread.close();
    }
}
