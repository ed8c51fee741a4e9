package loftflow.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes what libraries log by {@code java.util.logging} to the operators' log. The handler of the JVM opens a file for
 * the time zone of its first record; while no file descriptor is left that fails, and the error ends the thread that
 * logs, such as the event loop.
 */
public final class LibraryLog extends Handler {
    private LibraryLog() {
        setLevel(Level.WARNING);
    }

    /** Replaces the handlers of the JVM; to be called before a library logs. */
    public static void install() {
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new LibraryLog());
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record)) {
            String cause = record.getThrown() == null ? "" : " cause=" + record.getThrown();
            Log.line("library: " + record.getMessage() + " logger=" + record.getLoggerName() + cause);
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
