package loftflow.server;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import loftflow.config.Config;
import loftflow.log.LibraryLog;

/** Starts a relay that serves until the process receives SIGTERM or SIGINT. */
public final class RelayMain {
    private RelayMain() {}

    /**
     * Starts a relay and returns once it serves. From then on, SIGTERM and SIGINT start a {@link GracefulShutdown}, and
     * SIGHUP reloads the configuration through a {@link ConfigReloader}.
     *
     * @throws Config.BadConfigException if the configuration is missing or invalid
     * @throws IOException if a file can't be used or an address is already in use
     */
    public static void start(Config.Source source) throws Config.BadConfigException, IOException {
        LibraryLog.install();
        // Installed before anything else, because SIGHUP ends the process by default.
        ConfigReloader reloader = ConfigReloader.installSighupHandler(source);
        Config config = source.read();
        EventLoop eventLoop = (EventLoop) new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.newFactory()).next();
        RelayServer relay = new RelayServer(eventLoop, config, reloader::scheduleReloadIfChanged);
        relay.start();
        reloader.start(config, relay::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(relay::shutDown, "stop"));
    }
}
