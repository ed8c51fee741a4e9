package pipitstage.relay;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import sun.misc.Signal;

/** Reads the configuration again at each SIGHUP, away from the event loop. */
final class Reload {
    private Reload() { }

    /** Takes SIGHUP from now on; a configuration that can't be read leaves the old one in force. */
    static void onHangUp(Map<String, String> environment, Consumer<Config> taker) {
        // Guards, by a single thread, against an older file that overtakes a newer one.
        ExecutorService reader = Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "reload");
            thread.setDaemon(true);
            return thread;
        });
        Signal.handle(new Signal("HUP"), signal -> reader.execute(() -> read(environment, taker)));
    }

    private static void read(Map<String, String> environment, Consumer<Config> taker) {
        try {
            taker.accept(Config.read(environment));
        } catch (Config.BadConfigException e) {
            Log.line("the old configuration stays in force: " + e.getMessage());
        }
    }
}
