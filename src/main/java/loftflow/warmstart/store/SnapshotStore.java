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
 * Two generations of snapshot files, each with a delta file. Generations alternate between two file names: a new
 * snapshot is written to a third file and then atomically replaces the older generation, so that the newer one stays
 * intact whatever happens. Deltas go to the delta file of the current snapshot; while a next snapshot is being written,
 * to its delta file as well.
 *
 * <p>{@link #beginSnapshot}, {@link #appendDelta} and {@link #endSnapshot} are called on the event loop: they write
 * little and sync nothing. {@link #writeSnapshot} may run on another thread.
 */
final class SnapshotStore {
    /** File of a snapshot that is being written. */
    static final String NEW_SNAPSHOT_FILE = "remembered.new";

    private static final int SLOTS = 2;
    private static final String DISCARDED_SUFFIX = ".bad";
    /** In place of a generation: there is none. */
    private static final long NO_GENERATION = 0;

    /**
     * What was found on disk.
     *
     * @param snapshot null where none can be used
     * @param deltas deltas recorded since the snapshot, in order
     * @param isComplete false where deltas since the snapshot may be missing
     * @param logLines events to log, without their component
     */
    record LoadedState(Snapshot snapshot, List<SnapshotDelta> deltas, boolean isComplete, List<String> logLines) {}

    private final SnapshotFolder folder;
    private final long maxDeltaBytes;
    private final boolean sync;
    private long currentGeneration = NO_GENERATION;
    private long currentDeltaBytes;
    /** The generation that is being written. */
    private long nextGeneration = NO_GENERATION;

    private long nextDeltaBytes;

    /**
     * A store over a folder.
     *
     * @param maxDeltaBytes size of a delta file from which the next snapshot is needed
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

    /** Loads the newest intact snapshot of this owner, and its deltas. Files that can't be used are set aside. */
    LoadedState load(String owner) {
        List<String> logLines = new ArrayList<>();
        Snapshot newest = null;
        for (int slot = 0; slot < SLOTS; slot++) {
            Snapshot snapshot = readSnapshot(snapshotFileName(slot), owner, logLines);
            if (snapshot != null && (newest == null || snapshot.generation() > newest.generation())) {
                newest = snapshot;
            }
        }
        // A snapshot that was being written when the process ended does not count.
        delete(NEW_SNAPSHOT_FILE, logLines);
        if (newest == null) {
            return new LoadedState(null, List.of(), true, logLines);
        }
        currentGeneration = newest.generation();
        List<SnapshotDelta> deltas = new ArrayList<>();
        boolean isComplete = readDeltas(newest.generation(), deltas, logLines);
        if (hasDeltasOf(newest.generation() + 1)) {
            // The snapshot of the next generation is missing or damaged; its deltas are valid all the same.
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

    /** Reads the deltas of a generation; false where some may be missing. */
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
                // The process ended while it wrote the last delta, whose write was never acknowledged.
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
     * Begins the next generation, whose snapshot has just been taken: deltas from now on go to its file as well.
     *
     * @throws IllegalStateException where this is not the generation after the current one
     */
    void beginSnapshot(long generation) throws IOException {
        if (currentGeneration != NO_GENERATION && generation != currentGeneration + 1) {
            throw new IllegalStateException("generation " + generation + " after " + currentGeneration);
        }
        byte[] header = SnapshotCodec.deltaFileHeader(generation);
        folder.write(deltaFileName(generation), header, false);
        nextGeneration = generation;
        nextDeltaBytes = header.length;
    }

    /**
     * Writes a snapshot.
     *
     * @param bytes as of {@link SnapshotCodec#encodeSnapshot}
     */
    void writeSnapshot(long generation, byte[] bytes) throws IOException {
        folder.write(NEW_SNAPSHOT_FILE, bytes, sync);
        folder.replace(NEW_SNAPSHOT_FILE, snapshotFileName(generation));
    }

    /** Ends the generation that was begun: it becomes the current one where its snapshot was written. */
    void endSnapshot(boolean isWritten) {
        if (isWritten) {
            currentGeneration = nextGeneration;
            currentDeltaBytes = nextDeltaBytes;
        }
        nextGeneration = NO_GENERATION;
    }

    /** True where deltas have no snapshot to follow, or their file is full: a snapshot is needed first. */
    boolean needsSnapshot() {
        boolean isWritable = currentGeneration != NO_GENERATION && currentDeltaBytes < maxDeltaBytes;
        return nextGeneration == NO_GENERATION && !isWritable;
    }

    /** Appends a delta, as a record of {@link SnapshotCodec#encodeDelta}. */
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

    private IOException tryAppend(String fileName, byte[] record) {
        try {
            folder.append(fileName, record);
            return null;
        } catch (IOException e) {
            return e;
        }
    }
}
