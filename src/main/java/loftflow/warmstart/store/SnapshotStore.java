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
 * Two generations of a picture, each with the notes since it was taken. Pictures take turns at two places: a new one is
 * written beside them, then put in the place of the older one in one step, so that the newer one stays whole whatever
 * happens. Notes go to the newest picture's file; from the moment that a picture is taken until it stands, to its file
 * too.
 *
 * <p>{@link #begin}, {@link #note} and {@link #end} are for the event loop: they write little, and sync nothing.
 * {@link #write} may go on a thread of its own.
 */
final class SnapshotStore {
    static final String NEW = "remembered.new";
    private static final int PLACES = 2;

    /**
     * What was found.
     *
     * @param picture null where none can be used
     * @param whole false where notes since the picture may be missing
     * @param complaints what was set aside, and why
     */
    record Found(Snapshot picture, List<SnapshotDelta> notes, boolean whole, List<String> complaints) {}

    private final SnapshotFolder folder;
    private final long mostNotes;
    private final boolean sync;
    /** The generation that stands, 0 for none, and the one that is being written, 0 for none. */
    private long standing;

    private long coming;
    private long standingSize;
    private long comingSize;

    /**
     * The files of a folder.
     *
     * @param mostNotes bytes that the notes of one picture may take
     * @param sync whether a picture must be on the disk before it counts
     */
    SnapshotStore(SnapshotFolder folder, long mostNotes, boolean sync) {
        this.folder = folder;
        this.mostNotes = mostNotes;
        this.sync = sync;
    }

    static SnapshotStore at(Path path, long mostNotes, boolean sync) throws IOException {
        Files.createDirectories(path);
        return new SnapshotStore(SnapshotFolder.at(path), mostNotes, sync);
    }

    static String picture(long generation) {
        return "remembered-" + generation % PLACES + ".picture";
    }

    static String notes(long generation) {
        return "remembered-" + generation % PLACES + ".notes";
    }

    /** Finds the newest picture that is whole and this relay's own; what can't be used is set aside. */
    Found load(String owner) {
        List<String> complaints = new ArrayList<>();
        Snapshot newest = null;
        for (int place = 0; place < PLACES; place++) {
            Snapshot one = read(picture(place), owner, complaints);
            if (one != null && (newest == null || one.generation() > newest.generation())) {
                newest = one;
            }
        }
        // What was being written when the process ended was never promised.
        drop(NEW, complaints);
        if (newest == null) {
            return new Found(null, List.of(), true, complaints);
        }
        standing = newest.generation();
        List<SnapshotDelta> notes = new ArrayList<>();
        boolean whole = readNotes(newest.generation(), notes, complaints);
        if (follows(newest.generation() + 1)) {
            // Guards against a newer picture that went bad: what was noted since that one holds all the same.
            whole &= readNotes(newest.generation() + 1, notes, complaints);
        }
        return new Found(newest, notes, whole, complaints);
    }

    private Snapshot read(String name, String owner, List<String> complaints) {
        try {
            byte[] bytes = folder.read(name);
            if (bytes == null) {
                return null;
            }
            Snapshot picture = SnapshotCodec.picture(bytes);
            if (!picture.owner().equals(owner)) {
                throw new SnapshotCodec.UnreadableException(
                        "it is " + picture.owner() + "'s, and this relay is " + owner);
            }
            return picture;
        } catch (IOException e) {
            setAside(name, e.getMessage(), complaints);
            return null;
        }
    }

    private void setAside(String name, String why, List<String> complaints) {
        complaints.add(name + " is set aside as " + name + ".bad: " + why);
        try {
            folder.move(name, name + ".bad");
        } catch (IOException e) {
            complaints.add(name + " can't be set aside: " + e.getMessage());
        }
    }

    private void drop(String name, List<String> complaints) {
        try {
            folder.delete(name);
        } catch (IOException e) {
            complaints.add(name + " can't be removed: " + e.getMessage());
        }
    }

    private boolean follows(long generation) {
        try {
            byte[] bytes = folder.read(notes(generation));
            return bytes != null && SnapshotCodec.readNotesHead(ByteBuffer.wrap(bytes)) == generation;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean readNotes(long generation, List<SnapshotDelta> into, List<String> complaints) {
        String name = notes(generation);
        try {
            byte[] bytes = folder.read(name);
            if (bytes == null) {
                complaints.add(name + " is missing: what was told since the picture is not known");
                return false;
            }
            ByteBuffer all = ByteBuffer.wrap(bytes);
            long of = SnapshotCodec.readNotesHead(all);
            if (of != generation) {
                complaints.add(name + " follows picture " + of + ", and the newest that is whole is " + generation);
                return false;
            }
            int end = all.position();
            for (SnapshotDelta next = SnapshotCodec.nextNote(all); next != null; next = SnapshotCodec.nextNote(all)) {
                into.add(next);
                end = all.position();
            }
            if (end < bytes.length) {
                // The last note was cut off by the end of the process: what it said was never promised to be known.
                complaints.add(name + " is torn: " + (bytes.length - end) + " bytes are passed over");
                return false;
            }
            standingSize = bytes.length;
            return true;
        } catch (IOException e) {
            setAside(name, e.getMessage(), complaints);
            return false;
        }
    }

    /**
     * A picture of this generation, the one after what stands, has been taken: what is noted from now on follows it
     * too.
     */
    void begin(long generation) throws IOException {
        if (standing > 0 && generation != standing + 1) {
            throw new IllegalStateException("generation " + generation + " after " + standing);
        }
        byte[] head = SnapshotCodec.notesHead(generation);
        folder.write(notes(generation), head, false);
        coming = generation;
        comingSize = head.length;
    }

    /**
     * Writes a picture.
     *
     * @param bytes as of {@link SnapshotCodec#picture(Picture)}
     */
    void write(long generation, byte[] bytes) throws IOException {
        folder.write(NEW, bytes, sync);
        folder.move(NEW, picture(generation));
    }

    /** The picture that was begun stands, or does not. */
    void end(boolean written) {
        if (written) {
            standing = coming;
            standingSize = comingSize;
        }
        coming = 0;
    }

    /** True where notes have nothing to go to, or no room: a picture is needed first. */
    boolean isFull() {
        return coming == 0 && (standing == 0 || standingSize >= mostNotes);
    }

    /** Notes something, as a record of {@link SnapshotCodec#note}. */
    void note(byte[] record) throws IOException {
        IOException failed = null;
        if (standing > 0) {
            failed = append(notes(standing), record);
            standingSize += record.length;
        }
        if (coming > 0) {
            IOException other = append(notes(coming), record);
            failed = failed == null ? other : failed;
            comingSize += record.length;
        }
        if (failed != null) {
            throw failed;
        }
    }

    private IOException append(String name, byte[] record) {
        try {
            folder.append(name, record);
            return null;
        } catch (IOException e) {
            return e;
        }
    }
}
