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
 * Saves pictures on a thread of its own and notes at once, within a budget of bytes. One picture at a time is on its
 * way:
 * a later one waits for the next look. Notes that may not be written, for the budget's sake, for want of room or since
 * the
 * disk fails, are told by one note that says that something was ({@link SnapshotDelta.Kind#LOST}). To be called on the
 * event loop.
 */
public final class SnapshotWriter implements AutoCloseable {
    private static final double PICTURE_SHARE = 0.3;
    private static final double NOTES_SHARE = 0.02;
    private static final int PATIENCE_S = 2;
    private static final long SECOND = 1_000_000;
    private static final long LONGEST_PAUSE = 60 * SECOND;

    /**
     * Where and how much.
     *
     * @param limit bytes of all files together
     * @param rate bytes a second, on average over a minute
     * @param sync whether a picture must be on the disk itself before it counts
     */
    public record Options(Path folder, long limit, long rate, boolean sync) {}

    private final Options options;
    private final SnapshotStore store;
    private final Executor loop;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(work -> {
        Thread made = new Thread(work, "remember");
        made.setDaemon(true);
        return made;
    });
    private WriteBudget budget;
    private boolean saving;
    private boolean trimmed;
    /** Guards against the work for a picture each second that may not be written anyway. */
    private int lastSize;

    private long nextTry;
    private long pause = SECOND;
    /** What could not be noted since the picture that stands, as one note; null for nothing. */
    private SnapshotDelta lost;

    private boolean lostIsNoted;
    private long lostAt = Long.MIN_VALUE / 2;

    /** A saver that tells results on an event loop. */
    public SnapshotWriter(Options options, Executor loop) throws IOException {
        this(options, SnapshotStore.at(options.folder(), (long) (options.limit() * NOTES_SHARE), options.sync()), loop);
    }

    SnapshotWriter(Options options, SnapshotStore store, Executor loop) {
        this.options = options;
        this.store = store;
        this.loop = loop;
    }

    /**
     * What an earlier process left.
     *
     * @param picture null where nothing can be used
     * @param whole false where notes since the picture may be missing
     */
    public record Left(Snapshot picture, List<SnapshotDelta> notes, boolean whole) {}

    /** Reads what an earlier process left, once and before anything else; what can't be used is set aside and told. */
    public Left load(String owner) {
        SnapshotStore.Found found = store.load(owner);
        found.complaints().forEach(c -> Log.line("remembered: " + c));
        return new Left(found.picture(), found.notes(), found.whole());
    }

    /**
     * Begins to count what is written.
     *
     * @param last the picture that an earlier process left; null for none
     * @param time the relay's own time
     */
    public void start(Snapshot last, ClockReading now, long time) {
        long rest = last == null
                ? DowntimeEstimate.UNKNOWN
                : DowntimeEstimate.between(last.at(), now).least();
        budget = new WriteBudget(options.rate(), rest, time);
    }

    /** True where notes have no room before the next picture. */
    public boolean wantsPicture() {
        return store.isFull() || lost != null;
    }

    /** True where a picture could be saved now, if it is no larger than the one before. */
    public boolean isFree(long time) {
        return !saving && time >= nextTry && budget.allowsPicture(lastSize, time);
    }

    /**
     * Saves a picture where that is allowed now.
     *
     * @param failed is run on the event loop where it was begun and failed later
     * @return false where it was not begun
     */
    public boolean save(Snapshot picture, long time, Runnable failed) {
        if (!isFree(time)) {
            return false;
        }
        try {
            byte[] bytes = encoded(picture);
            lastSize = bytes.length;
            if (!budget.takePicture(bytes.length, time)) {
                return false;
            }
            store.begin(picture.generation());
            saving = true;
            SnapshotDelta covered = lost;
            thread.execute(() -> {
                IOException fault = write(picture.generation(), bytes);
                loop.execute(() -> {
                    saving = false;
                    store.end(fault == null);
                    if (fault != null) {
                        putOff(fault, time);
                        failed.run();
                    } else {
                        pause = SECOND;
                        // What was lost before a picture was taken does not matter to it.
                        lost = lost == covered ? null : lost;
                    }
                });
            });
            return true;
        } catch (IOException e) {
            putOff(e, time);
            return false;
        }
    }

    private IOException write(long generation, byte[] bytes) {
        try {
            store.write(generation, bytes);
            return null;
        } catch (IOException e) {
            return e;
        }
    }

    private void putOff(IOException fault, long time) {
        if (pause == SECOND) {
            Log.line("remembered: can't be saved, the picture before stands: " + fault.getMessage());
        }
        // Guards against a try a second, and a line each, on a disk that is full.
        nextTry = time + pause;
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
    }

    /** The bytes of a picture; one that is too large goes without those that were heard of longest ago. */
    private byte[] encoded(Snapshot picture) throws IOException {
        long most = Math.min((long) (options.limit() * PICTURE_SHARE), budget.largestPicture());
        byte[] bytes = SnapshotCodec.picture(picture);
        if (bytes.length <= most) {
            return bytes;
        }
        List<KnownEndpoint> kept = new ArrayList<>(picture.endpoints());
        kept.sort(Comparator.comparingLong((KnownEndpoint k) -> Math.max(k.listedAt(), k.answeredAt()))
                .reversed()
                .thenComparing(
                        Comparator.comparingLong(KnownEndpoint::answeredAt).reversed()));
        while (bytes.length > most && !kept.isEmpty()) {
            // One picture's mean says how many fit; a tenth more goes each time where it does not.
            int fit = (int) Math.min(kept.size() * 0.9, kept.size() * most / bytes.length);
            kept.subList(fit, kept.size()).clear();
            bytes = SnapshotCodec.picture(new Snapshot(
                    picture.owner(), picture.generation(), picture.at(), picture.time(), picture.revision(), kept));
        }
        if (!trimmed) {
            trimmed = true;
            Log.line("remembered: room for " + kept.size() + " of "
                    + picture.endpoints().size()
                    + " endpoints, those heard of last; raise memory.limit or memory.write-rate");
        }
        return bytes;
    }

    /** Notes things at once; where that can't be, that something was. */
    public void note(List<SnapshotDelta> notes, long time) {
        if (notes.isEmpty()) {
            return;
        }
        if (lost != null || store.isFull() || !written(notes, time)) {
            List<SnapshotDelta> all = new ArrayList<>(notes);
            if (lost != null) {
                all.add(lost);
            }
            SnapshotDelta whole = SnapshotDelta.inPlaceOf(all);
            if (lost == null || saving || whole.at() > lost.at()) {
                lost = whole;
                lostIsNoted = false;
                noteLost(time);
            }
        }
    }

    private boolean written(List<SnapshotDelta> notes, long time) {
        try {
            List<byte[]> records = new ArrayList<>();
            long size = 0;
            for (SnapshotDelta note : notes) {
                records.add(SnapshotCodec.note(note));
                size += records.get(records.size() - 1).length;
            }
            if (!budget.takeNotes(size, time)) {
                return false;
            }
            for (byte[] record : records) {
                store.note(record);
            }
            return true;
        } catch (IOException e) {
            Log.line("remembered: can't be noted: " + e.getMessage());
            return false;
        }
    }

    /**
     * Beyond the budget, once a second at the most: it is a few bytes, and all that stands for what was not written.
     */
    private void noteLost(long time) {
        if (lost == null || lostIsNoted || time - lostAt < SECOND) {
            return;
        }
        lostAt = time;
        try {
            store.note(SnapshotCodec.note(lost));
            lostIsNoted = true;
        } catch (IOException e) {
            Log.line("remembered: can't be noted: " + e.getMessage());
        }
    }

    /** To be called each second: tells what could not be told when it came. */
    public void look(long time) {
        noteLost(time);
    }

    /** Waits for what is being saved. */
    @Override
    public void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(PATIENCE_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
