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
import loftflow.clock.ClockReading;
import loftflow.clock.DowntimeEstimate;
import loftflow.log.Log;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;
import loftflow.warmstart.WriteBudget;

/**
 * Writes snapshots on a dedicated thread and deltas immediately, within a byte budget. Only one snapshot is written at
 * a time. Deltas that can't be written because the budget is spent, the delta file is full or the disk fails are
 * replaced by a single {@link SnapshotDelta.Kind#DELTAS_LOST}. All methods are called on the event loop.
 */
public final class SnapshotWriter implements AutoCloseable {
    private static final String LOG_PREFIX = "warmstart: ";
    /** Largest share of the size limit for one snapshot file. */
    private static final double SNAPSHOT_SHARE = 0.3;
    /** Share of the size limit for the delta file of one generation. */
    private static final double DELTA_SHARE = 0.02;

    private static final int CLOSE_TIMEOUT_SECONDS = 2;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MIN_RETRY_DELAY_MICROS = MICROS_PER_SECOND;
    private static final long MAX_RETRY_DELAY_MICROS = 60 * MICROS_PER_SECOND;
    private static final long LOST_DELTA_INTERVAL_MICROS = MICROS_PER_SECOND;
    /** Largest share of endpoints that the next try retains if a snapshot is too large. */
    private static final double MAX_RETAINED_SHARE = 0.9;

    /**
     * Settings of the writer.
     *
     * @param limitBytes size limit of all files together, in bytes
     * @param bytesPerSecond write rate limit, averaged over a minute
     * @param sync whether a snapshot must be on stable storage before it replaces an older one
     */
    public record Options(Path folder, long limitBytes, long bytesPerSecond, boolean sync) {}

    private final Options options;
    private final SnapshotStore store;
    private final Executor eventLoop;
    private final ExecutorService writerThread = Executors.newSingleThreadExecutor(task -> {
        Thread created = new Thread(task, "warmstart-writer");
        created.setDaemon(true);
        return created;
    });
    private WriteBudget budget;
    private boolean isWriting;
    private boolean hasLoggedTruncation;
    /** Encoded size of the last snapshot, used to skip encoding a snapshot that the budget would not allow. */
    private int lastSnapshotBytes;

    private long nextAttemptMicros;
    private long retryDelayMicros = MIN_RETRY_DELAY_MICROS;
    /** Summary of the deltas since the current snapshot that could not be written; null if there are none. */
    private SnapshotDelta lostDeltas;

    private boolean areLostDeltasRecorded;
    private long lastLostDeltasWriteMicros = Long.MIN_VALUE / 2;

    /** Creates a writer that reports results on an event loop. */
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

    /** Loads the state of an earlier process and logs unusable files. Must be called once, before any other method. */
    public LoadedSnapshot load(String owner) {
        SnapshotStore.LoadedState loaded = store.load(owner);
        loaded.logLines().forEach(line -> Log.line(LOG_PREFIX + line));
        return new LoadedSnapshot(loaded.snapshot(), loaded.deltas(), loaded.isComplete());
    }

    /**
     * Starts the write budget.
     *
     * @param last the snapshot of an earlier process; null if there is none
     * @param clocks current reading of the machine's clocks
     * @param nowMicros current time by the relay's own clock
     */
    public void start(Snapshot last, ClockReading clocks, long nowMicros) {
        long idleMicros = last == null
                ? DowntimeEstimate.UNKNOWN
                : DowntimeEstimate.between(last.clocks(), clocks).minMicros();
        budget = new WriteBudget(options.bytesPerSecond(), idleMicros, nowMicros);
    }

    /** Returns true if deltas can't be written before the next snapshot. */
    public boolean needsSnapshot() {
        return store.needsSnapshot() || lostDeltas != null;
    }

    /** Returns true if a snapshot as large as the last one could be written now. */
    public boolean canWriteSnapshot(long nowMicros) {
        return !isWriting && nowMicros >= nextAttemptMicros && budget.allowsSnapshot(lastSnapshotBytes, nowMicros);
    }

    /**
     * Starts the write of a snapshot if the budget allows it.
     *
     * @param onFailure runs on the event loop if the started write fails
     * @return false if the write was not started
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
            SnapshotDelta lostDeltasAtStart = lostDeltas;
            writerThread.execute(() -> {
                IOException failure = tryWrite(snapshot.generation(), bytes);
                eventLoop.execute(() -> onWritten(failure, nowMicros, lostDeltasAtStart, onFailure));
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

    private void onWritten(
            IOException failure, long startedAtMicros, SnapshotDelta lostDeltasAtStart, Runnable onFailure) {
        isWriting = false;
        store.endSnapshot(failure == null);
        if (failure != null) {
            delayNextAttempt(failure, startedAtMicros);
            onFailure.run();
            return;
        }
        retryDelayMicros = MIN_RETRY_DELAY_MICROS;
        if (lostDeltas == lostDeltasAtStart) {
            // The snapshot covers the deltas that were lost before it was taken.
            lostDeltas = null;
        }
    }

    /** Backs off exponentially after disk failures and logs only the first of consecutive ones. */
    private void delayNextAttempt(IOException failure, long nowMicros) {
        if (retryDelayMicros == MIN_RETRY_DELAY_MICROS) {
            Log.line(LOG_PREFIX + "snapshot write failed, the previous one stays error=\"" + failure.getMessage()
                    + "\"");
        }
        nextAttemptMicros = nowMicros + retryDelayMicros;
        retryDelayMicros = Math.min(MAX_RETRY_DELAY_MICROS, 2 * retryDelayMicros);
    }

    /** Encodes a snapshot. If it is too large, the endpoints with the oldest evidence are omitted. */
    private byte[] encodeWithinLimit(Snapshot snapshot) throws IOException {
        long maxBytes = Math.min((long) (options.limitBytes() * SNAPSHOT_SHARE), budget.maxSnapshotBytes());
        byte[] bytes = SnapshotCodec.encodeSnapshot(snapshot);
        if (bytes.length <= maxBytes) {
            return bytes;
        }
        List<KnownEndpoint> retained = new ArrayList<>(snapshot.endpoints());
        retained.sort(newestEvidenceFirst());
        while (bytes.length > maxBytes && !retained.isEmpty()) {
            // Estimates the number that fits from the mean endpoint size; repeats if the retained ones are larger.
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

    /** Writes deltas immediately. If that is not possible, records one delta that replaces them. */
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
     * Records that deltas were lost. Called each second to retry failed writes; tries at most once a second. The record
     * is not charged to the budget: it takes a few bytes and is the only trace of the lost deltas.
     */
    public void recordLostDeltas(long nowMicros) {
        if (lostDeltas == null
                || areLostDeltasRecorded
                || nowMicros - lastLostDeltasWriteMicros < LOST_DELTA_INTERVAL_MICROS) {
            return;
        }
        lastLostDeltasWriteMicros = nowMicros;
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

    /** Waits for the snapshot write in progress, for at most {@value #CLOSE_TIMEOUT_SECONDS} s. */
    @Override
    public void close() {
        writerThread.shutdown();
        try {
            writerThread.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
