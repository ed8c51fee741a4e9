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
 * Reloads the configuration: at each SIGHUP, and when its file has changed while discovery is unresponsive. A reload
 * that fails is retried, since the file may be in the middle of being written.
 *
 * <p>Files are read on a single thread of this class, off the event loop, so that an older file can't overtake a newer
 * one. All state but the constants is confined to that thread.
 */
final class ConfigReloader {
    static final int RETRY_INTERVAL_MILLIS = 100;
    static final int MAX_ATTEMPTS = 100;

    private final Config.Source source;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "reload");
        thread.setDaemon(true);
        return thread;
    });
    /** Null until {@link #start}. */
    private Consumer<Config> listener;
    /** The content of the file that the configuration in force was read from. */
    private byte[] contentInForce;
    /** How many signals there were; only the newest one's reload is retried. */
    private long newestSignal;

    private ConfigReloader(Config.Source source) {
        this.source = source;
    }

    /** Handles SIGHUP from now on; a signal before {@link #start} takes effect then. */
    static ConfigReloader onHangUp(Config.Source source) {
        ConfigReloader reloader = new ConfigReloader(source);
        Signal.handle(new Signal("HUP"), signal -> reloader.executor.execute(reloader::onSignal));
        return reloader;
    }

    /**
     * Reports new configurations from now on, and at once where the file was replaced since it was read.
     *
     * @param configInForce the configuration that the relay started with
     * @param configListener receives what replaces it, on this object's thread
     */
    void start(Config configInForce, Consumer<Config> configListener) {
        executor.execute(() -> {
            contentInForce = configInForce.sourceBytes();
            listener = configListener;
            if (newestSignal > 0) {
                // The signal came too early to be acted on; its file may still be incomplete, so it is retried.
                reload(newestSignal, 1);
            } else {
                reloadIfChanged();
            }
        });
    }

    /**
     * Reloads the configuration if its file has changed. Called while discovery is unresponsive, which may be because
     * its address has changed and the signal was lost or came before the file.
     */
    void compareWithFile() {
        executor.execute(this::reloadIfChanged);
    }

    /** Handles a SIGHUP. */
    void onSignal() {
        newestSignal++;
        reload(newestSignal, 1);
    }

    private void reload(long signal, int attempt) {
        if (listener == null || signal != newestSignal) {
            return;
        }
        try {
            apply(source.read());
        } catch (Config.BadConfigException | RuntimeException e) {
            if (attempt == 1 || attempt == MAX_ATTEMPTS) {
                Log.line("config: reload failed, old configuration stays in force attempt=" + attempt + " maxAttempts="
                        + MAX_ATTEMPTS + " error=" + e.getMessage());
            }
            if (attempt < MAX_ATTEMPTS) {
                executor.schedule(() -> reload(signal, attempt + 1), RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void reloadIfChanged() {
        try {
            if (listener != null && !Arrays.equals(source.bytes(), contentInForce)) {
                apply(source.read());
            }
        } catch (Config.BadConfigException | IOException | RuntimeException e) {
            Log.line("config: comparison with file failed error=" + e.getMessage());
        }
    }

    private void apply(Config config) {
        listener.accept(config);
        contentInForce = config.sourceBytes();
    }
}
