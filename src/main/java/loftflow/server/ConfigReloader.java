package loftflow.server;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.config.Config;
import loftflow.log.Log;
import sun.misc.Signal;

/**
 * Keeps the newest configuration in force: reads its file again at each SIGHUP, and where discovery is silent, away
 * from the event loop. A read that fails is tried again every {@value #AGAIN_MS} ms, {@value #MOST_TRIES} times.
 */
final class ConfigReloader {
    static final int AGAIN_MS = 100;
    static final int MOST_TRIES = 100;

    private final Config.Source source;
    private final ScheduledExecutorService reader = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "reload");
        thread.setDaemon(true);
        return thread;
    });
    private Consumer<Config> taker;
    private byte[] inForce;
    /** Only the newest of several signals goes on trying; read and written on the reader's thread. */
    private long newest;

    private ConfigReloader(Config.Source source) {
        this.source = source;
    }

    /** Takes SIGHUP from now on; what came before {@link #start} is heeded then. */
    static ConfigReloader onHangUp(Config.Source source) {
        ConfigReloader reload = new ConfigReloader(source);
        // Guards, by a single thread, against an older file that overtakes a newer one.
        Signal.handle(new Signal("HUP"), signal -> reload.reader.execute(reload::hungUp));
        return reload;
    }

    /**
     * Tells of new configurations from now on, and at once where the file has been replaced since it was read.
     *
     * @param first the configuration in force
     * @param listener takes what replaces it, on a thread of this object's own
     */
    void start(Config first, Consumer<Config> listener) {
        reader.execute(() -> {
            inForce = first.source();
            taker = listener;
            if (newest > 0) {
                // Guards against a signal that came while nothing could be taken yet, for a file that is half written.
                read(newest, 1);
            } else {
                compare();
            }
        });
    }

    /** Guards against a signal that was lost, or whose file came late: reads the file and takes it if it is another. */
    void discoveryIsSilent() {
        reader.execute(this::compare);
    }

    void hungUp() {
        newest++;
        read(newest, 1);
    }

    private void read(long signal, int tries) {
        if (taker == null || signal != newest) {
            return;
        }
        try {
            take(source.read());
        } catch (Config.BadConfigException | RuntimeException e) {
            // Guards against a file that is just being written: it would leave the old one in force for good.
            if (tries == 1 || tries == MOST_TRIES) {
                Log.line("the old configuration stays in force, try " + tries + " of " + MOST_TRIES + ": "
                        + e.getMessage());
            }
            if (tries < MOST_TRIES) {
                reader.schedule(() -> read(signal, tries + 1), AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void compare() {
        try {
            if (taker != null && !Arrays.equals(source.bytes(), inForce)) {
                take(source.read());
            }
        } catch (Config.BadConfigException | IOException | RuntimeException e) {
            Log.line("discovery is silent and the configuration can't be compared: " + e.getMessage());
        }
    }

    private void take(Config config) {
        taker.accept(config);
        inForce = config.source();
    }
}
