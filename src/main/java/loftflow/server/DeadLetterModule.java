package loftflow.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import loftflow.admin.AdminServer;
import loftflow.admin.DeadLetterCommands;
import loftflow.config.Config;
import loftflow.deadletter.DeadLetterService;
import loftflow.deadletter.DeadLetterStoreException;
import loftflow.deadletter.RedriveClass;
import loftflow.deadletter.RedrivePolicy;
import loftflow.deadletter.store.DeadLetterExecutor;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.engine.Clock;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Timers;
import loftflow.policy.api.RequestClass;

/**
 * Assembles the dead-letter store, its service and the admin socket. The class is not loaded if the dead-letter store
 * is not configured.
 */
final class DeadLetterModule {
    private final DeadLetterService service;
    private final DeadLetterExecutor executor;
    private final AdminServer adminServer;

    /**
     * Opens the store, registers the service as the engine's dead-letter sink and listens on the admin socket.
     *
     * @throws IOException if the store can't be opened or the socket can't be bound
     */
    DeadLetterModule(EventLoop eventLoop, Timers timers, Clock clock, DeliveryEngine engine, Config config)
            throws IOException {
        Config.DeadLetterOptions options = config.deadLetters();
        executor = openStore(config, eventLoop);
        service = new DeadLetterService(timers, clock, engine, executor, serviceOptions(config, options));
        engine.setDeadLetterSink(service);
        adminServer =
                new AdminServer(config.stateDirectory(), new DeadLetterCommands(service, executor, clock, eventLoop));
    }

    private static DeadLetterExecutor openStore(Config config, EventLoop eventLoop) throws IOException {
        try {
            return new DeadLetterExecutor(
                    SqliteDeadLetterStore.open(
                            config.stateDirectory(), config.deadLetters().limitBytes()),
                    eventLoop);
        } catch (DeadLetterStoreException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static DeadLetterService.Options serviceOptions(Config config, Config.DeadLetterOptions options) {
        return new DeadLetterService.Options(
                redriveClasses(config),
                new RedrivePolicy(options.clockMarginMicros(), options.redriveBackoffMicros()),
                options.redrivesPerSecond(),
                (long) (options.limitBytes() * options.highWatermark()),
                (long) (options.limitBytes() * options.lowWatermark()),
                options.maxEntries(),
                options.rejectsWhenFull(),
                options.maxClosedAgeMicros());
    }

    private static Map<String, RedriveClass> redriveClasses(Config config) {
        Map<String, Long> windowsMicros = config.deadLetters().redriveWindowMicrosByClass();
        Map<String, RedriveClass> redriveClasses = new HashMap<>();
        for (RequestClass requestClass : config.settings().classes()) {
            String name = requestClass.name();
            redriveClasses.put(name, new RedriveClass(requestClass, windowsMicros.get(name)));
        }
        return redriveClasses;
    }

    /** Starts redrives. To be called on the event loop. */
    void start() {
        service.start();
    }

    /** Closes the admin socket and the store. */
    void close() {
        adminServer.close();
        executor.close();
    }
}
