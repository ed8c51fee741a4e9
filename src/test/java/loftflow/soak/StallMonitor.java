package loftflow.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Records how long this process and the relay's threads waited for CPU, so that a late completion can be distinguished
 * from a machine without free CPU.
 */
final class StallMonitor implements AutoCloseable {
    private static final long SAMPLE_INTERVAL_MILLIS = 20;
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private record Stall(long fromNanos, long untilNanos, long waitedNanos) {}

    private final List<Stall> stalls = new CopyOnWriteArrayList<>();
    private final Map<Path, Long> waitedByThread = new HashMap<>();
    private volatile long relayPid;
    private volatile boolean isOver;

    /** Starts the sampling thread. */
    void start() {
        Thread thread = new Thread(this::run, "soak-stalls");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets the relay process whose threads are sampled from now on. */
    void watch(long pid) {
        relayPid = pid;
    }

    private void run() {
        long last = System.nanoTime();
        while (!isOver) {
            try {
                TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            long late = now - last - TimeUnit.MILLISECONDS.toNanos(SAMPLE_INTERVAL_MILLIS);
            add(new Stall(last, now, late));
            add(new Stall(last, now, relayWaitNanos()));
            last = now;
        }
    }

    private void add(Stall stall) {
        if (stall.waitedNanos() >= MIN_STALL_NANOS) {
            stalls.add(stall);
        }
    }

    /** Returns the longest time that a thread of the relay spent waiting on a run queue since the last sample. */
    private long relayWaitNanos() {
        long longest = 0;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc", relayPid + "", "task"))) {
            for (Path thread : threads) {
                long waited = Long.parseLong(
                        Files.readString(thread.resolve("schedstat")).split(" ")[1]);
                Long before = waitedByThread.put(thread, waited);
                longest = Math.max(longest, before == null ? 0 : waited - before);
            }
        } catch (IOException | RuntimeException e) {
            // The process or the thread has ended.
            return longest;
        }
        return longest;
    }

    /** Returns how long the harness and the relay waited for CPU within an interval. */
    long waitedNanos(long fromNanos, long untilNanos) {
        return stalls.stream()
                .filter(stall -> stall.untilNanos() >= fromNanos && stall.fromNanos() <= untilNanos)
                .mapToLong(Stall::waitedNanos)
                .sum();
    }

    @Override
    public void close() {
        isOver = true;
    }
}
