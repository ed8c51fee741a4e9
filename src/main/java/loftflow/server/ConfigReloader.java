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
 * Reloads the configuration on each SIGHUP, and when its file has changed while discovery is unresponsive. A reload
 * after a SIGHUP that fails is retried, since the file may not be written completely yet.
 *
 * <p>Files are read on a single thread owned by this class, off the event loop, so that the content of an older file
 * can't replace that of a newer one. All mutable state is confined to that thread.
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
    /** The file content from which the active configuration was read. */
    private byte[] activeContent;
    /** Number of the most recent signal, counted from 1; only its reload is retried. 0 if there was none. */
    private long latestSignal;

    private ConfigReloader(Config.Source source) {
        this.source = source;
    }

    /** Installs a handler for SIGHUP. A signal that arrives before {@link #start} is applied by {@code start}. */
    static ConfigReloader installSighupHandler(Config.Source source) {
        ConfigReloader reloader = new ConfigReloader(source);
        Signal.handle(new Signal("HUP"), signal -> reloader.executor.execute(reloader::onSignal));
        return reloader;
    }

    /**
     * Starts to report new configurations. If the file was replaced after the initial configuration was read, reports
     * its new content immediately.
     *
     * @param initialConfig the configuration with which the relay started
     * @param configListener receives each new configuration, on the reload thread
     */
    void start(Config initialConfig, Consumer<Config> configListener) {
        executor.execute(() -> {
            activeContent = initialConfig.sourceBytes();
            listener = configListener;
            if (latestSignal > 0) {
                // A signal arrived before the listener was set. The file may still be incomplete, so use the retries.
                reload(latestSignal, 1);
            } else {
                reloadIfChanged();
            }
        });
    }

    /**
     * Schedules a reload if the configuration file has changed. Called while discovery is unresponsive: the address of
     * the agent may have changed, and the signal may have been lost or sent before the file was written.
     */
    void scheduleReloadIfChanged() {
        executor.execute(this::reloadIfChanged);
    }

    /** Reloads the configuration after a SIGHUP. */
    void onSignal() {
        latestSignal++;
        reload(latestSignal, 1);
    }

    private void reload(long signal, int attempt) {
        if (listener == null || signal != latestSignal) {
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
            if (listener != null && !Arrays.equals(source.bytes(), activeContent)) {
                apply(source.read());
            }
        } catch (Config.BadConfigException | IOException | RuntimeException e) {
            Log.line("config: comparison with file failed error=" + e.getMessage());
        }
    }

    private void apply(Config config) {
        listener.accept(config);
        activeContent = config.sourceBytes();
    }
}
