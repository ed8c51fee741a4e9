package loftflow.warmstart.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;

/**
 * Stores two generations of snapshot files, each with a delta file. Generations alternate between two file names: a new
 * snapshot is written to a third file and then atomically replaces the older generation, so that the newer generation
 * stays intact if the write fails at any point. Deltas are appended to the delta file of the current snapshot. While
 * the next snapshot is being written, they are appended to its delta file too.
 *
 * <p>{@link #beginSnapshot}, {@link #appendDelta} and {@link #endSnapshot} are called on the event loop: they write
 * few bytes and never sync. {@link #writeSnapshot} may run on another thread.
 */
final class SnapshotStore {
    /** Name of the file to which a new snapshot is written. */
    static final String NEW_SNAPSHOT_FILE = "remembered.new";

    private static final int SLOTS = 2;
    private static final String DISCARDED_SUFFIX = ".bad";
    /** Value of a generation field that means no generation. */
    private static final long NO_GENERATION = 0;

    /**
     * State found on disk.
     *
     * @param snapshot the newest usable snapshot; null if there is none
     * @param deltas deltas recorded since the snapshot, in order
     * @param isComplete false if deltas since the snapshot may be missing
     * @param logLines lines to log, without the component
     */
    record LoadedState(Snapshot snapshot, List<SnapshotDelta> deltas, boolean isComplete, List<String> logLines) {}

    private final SnapshotFolder folder;
    private final long maxDeltaBytes;
    private final boolean sync;
    private long currentGeneration = NO_GENERATION;
    private long currentDeltaBytes;
    /** Generation of the snapshot that is being written. */
    private long nextGeneration = NO_GENERATION;

    private long nextDeltaBytes;

    /**
     * Creates a store in a folder.
     *
     * @param maxDeltaBytes size of a delta file at which a new snapshot is needed
     * @param sync whether a snapshot must be on stable storage before it replaces an older one
     */
    SnapshotStore(SnapshotFolder folder, long maxDeltaBytes, boolean sync) {
        this.folder = folder;
        this.maxDeltaBytes = maxDeltaBytes;
        this.sync = sync;
    }

    static SnapshotStore at(Path path, long maxDeltaBytes, boolean sync) throws IOException {
        Files.createDirectories(path);
        return new SnapshotStore(SnapshotFolder.onDisk(path), maxDeltaBytes, sync);
    }

    static String snapshotFileName(long generation) {
        return "remembered-" + generation % SLOTS + ".picture";
    }

    static String deltaFileName(long generation) {
        return "remembered-" + generation % SLOTS + ".notes";
    }

    /** Loads the newest intact snapshot of an owner, and its deltas. Renames unusable files to keep them aside. */
    LoadedState load(String owner) {
        List<String> logLines = new ArrayList<>();
        Snapshot newest = null;
        for (int slot = 0; slot < SLOTS; slot++) {
            Snapshot snapshot = readSnapshot(snapshotFileName(slot), owner, logLines);
            if (snapshot != null && (newest == null || snapshot.generation() > newest.generation())) {
                newest = snapshot;
            }
        }
        // A snapshot whose write the process did not finish is discarded.
        delete(NEW_SNAPSHOT_FILE, logLines);
        if (newest == null) {
            return new LoadedState(null, List.of(), true, logLines);
        }
        currentGeneration = newest.generation();
        List<SnapshotDelta> deltas = new ArrayList<>();
        boolean isComplete = readDeltas(newest.generation(), deltas, logLines);
        if (hasDeltasOf(newest.generation() + 1)) {
            // The snapshot of the next generation is missing or damaged, but its deltas are still valid.
            isComplete &= readDeltas(newest.generation() + 1, deltas, logLines);
        }
        return new LoadedState(newest, deltas, isComplete, logLines);
    }

    private Snapshot readSnapshot(String fileName, String owner, List<String> logLines) {
        try {
            byte[] bytes = folder.read(fileName);
            if (bytes == null) {
                return null;
            }
            Snapshot snapshot = SnapshotCodec.decodeSnapshot(bytes);
            if (!snapshot.owner().equals(owner)) {
                throw new SnapshotCodec.UnreadableException("owner is " + snapshot.owner() + ", expected is " + owner);
            }
            return snapshot;
        } catch (IOException e) {
            setAside(fileName, e.getMessage(), logLines);
            return null;
        }
    }

    private void setAside(String fileName, String reason, List<String> logLines) {
        String newName = fileName + DISCARDED_SUFFIX;
        logLines.add("file set aside file=" + fileName + " as=" + newName + " reason=\"" + reason + "\"");
        try {
            folder.replace(fileName, newName);
        } catch (IOException e) {
            logLines.add("file can't be set aside file=" + fileName + " error=\"" + e.getMessage() + "\"");
        }
    }

    private void delete(String fileName, List<String> logLines) {
        try {
            folder.delete(fileName);
        } catch (IOException e) {
            logLines.add("file can't be removed file=" + fileName + " error=\"" + e.getMessage() + "\"");
        }
    }

    private boolean hasDeltasOf(long generation) {
        try {
            byte[] bytes = folder.read(deltaFileName(generation));
            return bytes != null && SnapshotCodec.readDeltaFileHeader(ByteBuffer.wrap(bytes)) == generation;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads the deltas of a generation. Returns false if some may be missing. */
    private boolean readDeltas(long generation, List<SnapshotDelta> deltas, List<String> logLines) {
        String fileName = deltaFileName(generation);
        try {
            byte[] bytes = folder.read(fileName);
            if (bytes == null) {
                logLines.add("delta file missing file=" + fileName);
                return false;
            }
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            long fileGeneration = SnapshotCodec.readDeltaFileHeader(buffer);
            if (fileGeneration != generation) {
                logLines.add("delta file of another generation file=" + fileName + " generation=" + fileGeneration
                        + " expected=" + generation);
                return false;
            }
            int endOfDeltas = buffer.position();
            SnapshotDelta delta = SnapshotCodec.decodeNextDelta(buffer);
            while (delta != null) {
                deltas.add(delta);
                endOfDeltas = buffer.position();
                delta = SnapshotCodec.decodeNextDelta(buffer);
            }
            if (endOfDeltas < bytes.length) {
                // The process ended during the write of the last delta, so that write was never acknowledged.
                logLines.add("torn delta skipped file=" + fileName + " bytes=" + (bytes.length - endOfDeltas));
                return false;
            }
            currentDeltaBytes = bytes.length;
            return true;
        } catch (IOException e) {
            setAside(fileName, e.getMessage(), logLines);
            return false;
        }
    }

    /**
     * Begins the next generation after its snapshot was taken. Later deltas are also appended to its delta file.
     *
     * @throws IllegalStateException if the generation does not directly follow the current one
     */
    void beginSnapshot(long generation) throws IOException {
        if (currentGeneration != NO_GENERATION && generation != currentGeneration + 1) {
            throw new IllegalStateException("generation is " + generation + ", expected is " + (currentGeneration + 1));
        }
        byte[] header = SnapshotCodec.deltaFileHeader(generation);
        folder.write(deltaFileName(generation), header, false);
        nextGeneration = generation;
        nextDeltaBytes = header.length;
    }

    /**
     * Writes a snapshot file.
     *
     * @param bytes the file content, encoded by {@link SnapshotCodec#encodeSnapshot}
     */
    void writeSnapshot(long generation, byte[] bytes) throws IOException {
        folder.write(NEW_SNAPSHOT_FILE, bytes, sync);
        folder.replace(NEW_SNAPSHOT_FILE, snapshotFileName(generation));
    }

    /** Ends the write of the next generation, which becomes the current one if its snapshot was written. */
    void endSnapshot(boolean isWritten) {
        if (isWritten) {
            currentGeneration = nextGeneration;
            currentDeltaBytes = nextDeltaBytes;
        }
        nextGeneration = NO_GENERATION;
    }

    /** Returns true if deltas can't be appended before a new snapshot: there is none, or the delta file is full. */
    boolean needsSnapshot() {
        boolean canAppend = currentGeneration != NO_GENERATION && currentDeltaBytes < maxDeltaBytes;
        return nextGeneration == NO_GENERATION && !canAppend;
    }

    /** Appends a delta record, encoded by {@link SnapshotCodec#encodeDelta}. */
    void appendDelta(byte[] record) throws IOException {
        IOException failure = null;
        if (currentGeneration != NO_GENERATION) {
            failure = tryAppend(deltaFileName(currentGeneration), record);
            currentDeltaBytes += record.length;
        }
        if (nextGeneration != NO_GENERATION) {
            IOException nextFailure = tryAppend(deltaFileName(nextGeneration), record);
            failure = failure == null ? nextFailure : failure;
            nextDeltaBytes += record.length;
        }
        if (failure != null) {
            throw failure;
        }
    }

    /** Returns the failure; null if the append succeeded. */
    private IOException tryAppend(String fileName, byte[] record) {
        try {
            folder.append(fileName, record);
            return null;
        } catch (IOException e) {
            return e;
        }
    }
}
