package loftflow.warmstart.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import loftflow.log.Log;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.DowntimeEstimate;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;
import loftflow.warmstart.WriteBudget;

/**
 * Writes snapshots on a thread of its own and deltas at once, within a budget of bytes. One snapshot is written at a
 * time. Deltas that can't be written, since the budget or their file is used up or the disk fails, are replaced by a
 * single {@link SnapshotDelta.Kind#DELTAS_LOST}. All methods are called on the event loop.
 */
public final class SnapshotWriter implements AutoCloseable {
    private static final String LOG_PREFIX = "warmstart: ";
    /** Largest share of the limit that one snapshot takes. */
    private static final double SNAPSHOT_SHARE = 0.3;
    /** Share of the limit that the delta file of one generation takes. */
    private static final double DELTA_SHARE = 0.02;

    private static final int CLOSE_TIMEOUT_SECONDS = 2;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MIN_RETRY_DELAY_MICROS = MICROS_PER_SECOND;
    private static final long MAX_RETRY_DELAY_MICROS = 60 * MICROS_PER_SECOND;
    private static final long LOST_DELTA_INTERVAL_MICROS = MICROS_PER_SECOND;
    /** Where a snapshot is still too large, at least a tenth of its endpoints is left out of the next try. */
    private static final double MAX_RETAINED_SHARE = 0.9;

    /**
     * Settings.
     *
     * @param limitBytes bytes of all files together
     * @param bytesPerSecond bytes a second, on average over a minute
     * @param sync whether a snapshot must be on stable storage before it counts
     */
    public record Options(Path folder, long limitBytes, long bytesPerSecond, boolean sync) {}

    private final Options options;
    private final SnapshotStore store;
    private final Executor eventLoop;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(task -> {
        Thread created = new Thread(task, "warmstart-writer");
        created.setDaemon(true);
        return created;
    });
    private WriteBudget budget;
    private boolean isWriting;
    private boolean hasLoggedTruncation;
    /** Size of the last snapshot: avoids encoding one each second that the budget does not allow. */
    private int lastSnapshotBytes;

    private long nextAttemptMicros;
    private long retryDelayMicros = MIN_RETRY_DELAY_MICROS;
    /** Stands for the deltas since the current snapshot that could not be written; null for none. */
    private SnapshotDelta lostDeltas;

    private boolean areLostDeltasRecorded;
    private long lostDeltasTriedMicros = Long.MIN_VALUE / 2;

    /** A writer that reports results on an event loop. */
    public SnapshotWriter(Options options, Executor eventLoop) throws IOException {
        this(
                options,
                SnapshotStore.at(options.folder(), (long) (options.limitBytes() * DELTA_SHARE), options.sync()),
                eventLoop);
    }

    SnapshotWriter(Options options, SnapshotStore store, Executor eventLoop) {
        this.options = options;
        this.store = store;
        this.eventLoop = eventLoop;
    }

    /** Loads what an earlier process left. Called once, before anything else; logs the files that are set aside. */
    public LoadedSnapshot load(String owner) {
        SnapshotStore.LoadedState loaded = store.load(owner);
        loaded.logLines().forEach(line -> Log.line(LOG_PREFIX + line));
        return new LoadedSnapshot(loaded.snapshot(), loaded.deltas(), loaded.isComplete());
    }

    /**
     * Starts the write budget.
     *
     * @param last the snapshot that an earlier process left; null for none
     * @param nowMicros the relay's own time
     */
    public void start(Snapshot last, ClockReading clocks, long nowMicros) {
        long idleMicros = last == null
                ? DowntimeEstimate.UNKNOWN
                : DowntimeEstimate.between(last.clocks(), clocks).minMicros();
        budget = new WriteBudget(options.bytesPerSecond(), idleMicros, nowMicros);
    }

    /** True where deltas can't be written before the next snapshot. */
    public boolean needsSnapshot() {
        return store.needsSnapshot() || lostDeltas != null;
    }

    /** True where a snapshot of the last one's size could be written now. */
    public boolean canWriteSnapshot(long nowMicros) {
        return !isWriting && nowMicros >= nextAttemptMicros && budget.allowsSnapshot(lastSnapshotBytes, nowMicros);
    }

    /**
     * Starts to write a snapshot, where that is allowed now.
     *
     * @param onFailure runs on the event loop where the write was started and failed later
     * @return false where the write was not started
     */
    public boolean writeSnapshot(Snapshot snapshot, long nowMicros, Runnable onFailure) {
        if (!canWriteSnapshot(nowMicros)) {
            return false;
        }
        try {
            byte[] bytes = encodeWithinLimit(snapshot);
            lastSnapshotBytes = bytes.length;
            if (!budget.tryTakeSnapshot(bytes.length, nowMicros)) {
                return false;
            }
            store.beginSnapshot(snapshot.generation());
            isWriting = true;
            SnapshotDelta lostBefore = lostDeltas;
            thread.execute(() -> {
                IOException failure = tryWrite(snapshot.generation(), bytes);
                eventLoop.execute(() -> onWritten(failure, nowMicros, lostBefore, onFailure));
            });
            return true;
        } catch (IOException e) {
            delayNextAttempt(e, nowMicros);
            return false;
        }
    }

    private IOException tryWrite(long generation, byte[] bytes) {
        try {
            store.writeSnapshot(generation, bytes);
            return null;
        } catch (IOException e) {
            return e;
        }
    }

    private void onWritten(IOException failure, long startedAtMicros, SnapshotDelta lostBefore, Runnable onFailure) {
        isWriting = false;
        store.endSnapshot(failure == null);
        if (failure != null) {
            delayNextAttempt(failure, startedAtMicros);
            onFailure.run();
            return;
        }
        retryDelayMicros = MIN_RETRY_DELAY_MICROS;
        if (lostDeltas == lostBefore) {
            // The snapshot contains what was lost before it was taken.
            lostDeltas = null;
        }
    }

    /** Backs off exponentially on a disk that fails, and logs only the first of consecutive failures. */
    private void delayNextAttempt(IOException failure, long nowMicros) {
        if (retryDelayMicros == MIN_RETRY_DELAY_MICROS) {
            Log.line(LOG_PREFIX + "snapshot write failed, the previous one stays error=\"" + failure.getMessage()
                    + "\"");
        }
        nextAttemptMicros = nowMicros + retryDelayMicros;
        retryDelayMicros = Math.min(MAX_RETRY_DELAY_MICROS, 2 * retryDelayMicros);
    }

    /** Encodes a snapshot; one that is too large is encoded without the endpoints whose evidence is oldest. */
    private byte[] encodeWithinLimit(Snapshot snapshot) throws IOException {
        long maxBytes = Math.min((long) (options.limitBytes() * SNAPSHOT_SHARE), budget.maxSnapshotBytes());
        byte[] bytes = SnapshotCodec.encodeSnapshot(snapshot);
        if (bytes.length <= maxBytes) {
            return bytes;
        }
        List<KnownEndpoint> retained = new ArrayList<>(snapshot.endpoints());
        retained.sort(newestEvidenceFirst());
        while (bytes.length > maxBytes && !retained.isEmpty()) {
            // The mean size of an endpoint tells how many fit, unless those that are retained are larger than it.
            int count = (int) Math.min(retained.size() * MAX_RETAINED_SHARE, retained.size() * maxBytes / bytes.length);
            retained.subList(count, retained.size()).clear();
            bytes = SnapshotCodec.encodeSnapshot(new Snapshot(
                    snapshot.owner(),
                    snapshot.generation(),
                    snapshot.clocks(),
                    snapshot.relayTimeMicros(),
                    snapshot.revision(),
                    retained));
        }
        if (!hasLoggedTruncation) {
            hasLoggedTruncation = true;
            Log.line(LOG_PREFIX + "snapshot truncated, raise memory.limit or memory.write-rate retained="
                    + retained.size() + " endpoints=" + snapshot.endpoints().size());
        }
        return bytes;
    }

    private static Comparator<KnownEndpoint> newestEvidenceFirst() {
        Comparator<KnownEndpoint> byEvidence =
                Comparator.comparingLong(endpoint -> Math.max(endpoint.listedAtMicros(), endpoint.answeredAtMicros()));
        return byEvidence.thenComparingLong(KnownEndpoint::answeredAtMicros).reversed();
    }

    /** Writes deltas at once; where that can't be, a single one that stands for them. */
    public void writeDeltas(List<SnapshotDelta> deltas, long nowMicros) {
        if (deltas.isEmpty()) {
            return;
        }
        if (lostDeltas == null && !store.needsSnapshot() && tryAppend(deltas, nowMicros)) {
            return;
        }
        List<SnapshotDelta> unwritten = new ArrayList<>(deltas);
        if (lostDeltas != null) {
            unwritten.add(lostDeltas);
        }
        SnapshotDelta summary = SnapshotDelta.summaryOf(unwritten);
        if (lostDeltas == null || isWriting || summary.atMicros() > lostDeltas.atMicros()) {
            lostDeltas = summary;
            areLostDeltasRecorded = false;
            recordLostDeltas(nowMicros);
        }
    }

    private boolean tryAppend(List<SnapshotDelta> deltas, long nowMicros) {
        try {
            List<byte[]> records = new ArrayList<>();
            long totalBytes = 0;
            for (SnapshotDelta delta : deltas) {
                byte[] record = SnapshotCodec.encodeDelta(delta);
                records.add(record);
                totalBytes += record.length;
            }
            if (!budget.tryTakeDeltas(totalBytes, nowMicros)) {
                return false;
            }
            for (byte[] record : records) {
                store.appendDelta(record);
            }
            return true;
        } catch (IOException e) {
            logDeltaFailure(e);
            return false;
        }
    }

    /**
     * Records that deltas were lost, at most once a second; called each second, as the record may fail. This is not
     * charged to the budget: it is a few bytes, and all that stands for what was not written.
     */
    public void recordLostDeltas(long nowMicros) {
        if (lostDeltas == null
                || areLostDeltasRecorded
                || nowMicros - lostDeltasTriedMicros < LOST_DELTA_INTERVAL_MICROS) {
            return;
        }
        lostDeltasTriedMicros = nowMicros;
        try {
            store.appendDelta(SnapshotCodec.encodeDelta(lostDeltas));
            areLostDeltasRecorded = true;
        } catch (IOException e) {
            logDeltaFailure(e);
        }
    }

    private static void logDeltaFailure(IOException failure) {
        Log.line(LOG_PREFIX + "delta write failed error=\"" + failure.getMessage() + "\"");
    }

    /** Waits, for a bounded time, until the snapshot that is being written is done. */
    @Override
    public void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
