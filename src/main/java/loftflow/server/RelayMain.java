package loftflow.server;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import loftflow.config.Config;

/** Starts a relay that serves until the process receives a signal to end. */
public final class RelayMain {
    private RelayMain() {}

    /**
     * Starts a relay; returns once it serves. From then on SIGTERM and SIGINT end it by a {@link GracefulShutdown}, and
     * SIGHUP reloads its configuration by a {@link ConfigReloader}.
     *
     * @throws Config.BadConfigException where the configuration is missing or invalid
     * @throws IOException where a file can't be used or an address is taken
     */
    public static void start(Config.Source source) throws Config.BadConfigException, IOException {
        // The signal handler comes first: by default SIGHUP ends the process.
        ConfigReloader reloader = ConfigReloader.onHangUp(source);
        Config config = source.read();
        EventLoop eventLoop = (EventLoop) new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.newFactory()).next();
        RelayServer relay = new RelayServer(eventLoop, config, reloader::compareWithFile);
        relay.start();
        reloader.start(config, relay::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(relay::shutDown, "stop"));
    }
}
