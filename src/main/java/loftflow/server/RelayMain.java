package loftflow.server;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import loftflow.config.Config;

/** Starts a relay that serves until the process ends. */
public final class RelayMain {
    private RelayMain() {}

    /** Starts a relay; returns once it serves, and signals end it from then on. */
    public static void start(Config.Source source) throws Config.BadConfigException, IOException {
        // Guards against a signal that would end the process, and against a file replaced while it starts.
        ConfigReloader reload = ConfigReloader.onHangUp(source);
        Config config = source.read();
        EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.newFactory()).next();
        RelayServer relay = new RelayServer(loop, config, reload::discoveryIsSilent);
        relay.start();
        reload.start(config, relay::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(relay::stop, "stop"));
    }
}
