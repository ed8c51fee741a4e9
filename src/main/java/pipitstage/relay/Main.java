package pipitstage.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import pipitstage.SimHost;
import pipitstage.WireException;
import pipitstage.config.Config;
import pipitstage.log.Log;

/** Starts the relay or the simulator's adapter. docs/design.md has an overview. */
public final class Main {
    private static final int MISUSE = 2;

    private Main() { }

    /** Runs {@code serve} or {@code simhost}. */
    public static void main(String[] args) throws IOException {
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "serve" -> serve();
            case "simhost" -> simhost();
            default -> exit("usage: java -jar loftflow.jar serve|simhost", MISUSE);
        }
    }

    private static void serve() {
        try {
            // Guards against a signal that would end the process, and against a file replaced while it starts.
            Reload reload = Reload.onHangUp(System.getenv());
            Config config = Config.read(System.getenv());
            EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            Relay relay = new Relay(loop, config, reload::discoveryIsSilent);
            relay.start();
            reload.start(config, relay::reload);
            Runtime.getRuntime().addShutdownHook(new Thread(relay::stop, "stop"));
        } catch (Config.BadConfigException e) {
            exit(e.getMessage(), MISUSE);
        } catch (IOException e) {
            exit(e.getMessage(), 1);
        }
    }

    private static void simhost() throws IOException {
        try {
            SimHost.runOnStandardStreams();
        } catch (WireException e) {
            exit(e.getMessage(), 1);
        }
    }

    private static void exit(String line, int code) {
        Log.line(line);
        System.exit(code);
    }
}
