package loftflow.warmstart.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;
import loftflow.recordfile.RecordFile;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;

/**
 * Pictures and notes as bytes. A file begins with eight bytes that tell what it is and in which format; records with
 * length and checksum follow ({@link RecordFile}).
 */
final class SnapshotCodec {
    private static final byte[] MAGIC = {'l', 'o', 'f', 't', 'r', 'm'};
    /** Raised with each change of the form: a file of another format is not read. */
    static final short FORMAT = 1;
    /** Bytes ahead of the first record. */
    static final int HEAD = MAGIC.length + Short.BYTES;

    private static final int MOST_TEXT = 1 << 10;
    private static final int MOST_ENDPOINTS = 1 << 20;

    /** A file that can't be read; the message says why. */
    static final class UnreadableException extends IOException {
        private static final long serialVersionUID = 1L;

        UnreadableException(String message) {
            super(message);
        }
    }

    private SnapshotCodec() {}

    /** The bytes that every file begins with. */
    static byte[] head() {
        return ByteBuffer.allocate(HEAD).put(MAGIC).putShort(FORMAT).array();
    }

    /** Reads the head of a file off. */
    static void readHead(ByteBuffer file) throws UnreadableException {
        if (file.remaining() < HEAD) {
            throw new UnreadableException("it is torn at its head");
        }
        byte[] magic = new byte[MAGIC.length];
        file.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            throw new UnreadableException("it is no file of remembered endpoints");
        }
        short format = file.getShort();
        if (format != FORMAT) {
            throw new UnreadableException("its format is " + format + ", and this relay reads " + FORMAT);
        }
    }

    /** A whole file that holds a picture. */
    static byte[] picture(Snapshot p) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(new byte[RecordFile.HEAD]);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeUTF(p.owner());
        out.writeLong(p.generation());
        out.writeLong(p.at().wall());
        out.writeLong(p.at().up());
        out.writeUTF(p.at().boot());
        out.writeLong(p.time());
        out.writeLong(p.revision());
        out.writeInt(p.endpoints().size());
        for (KnownEndpoint k : p.endpoints()) {
            write(out, k);
        }
        byte[] record = RecordFile.seal(bytes.toByteArray());
        return ByteBuffer.allocate(HEAD + record.length).put(head()).put(record).array();
    }

    private static void write(DataOutputStream out, KnownEndpoint k) throws IOException {
        EndpointEntry l = k.listed();
        out.writeUTF(l.route());
        out.writeInt(l.destination());
        out.writeUTF(l.kind());
        out.writeUTF(l.zone());
        out.writeByte(l.availability().ordinal());
        out.writeFloat((float) l.ratePerSecond());
        out.writeUTF(k.address());
        out.writeByte(k.state().ordinal());
        out.writeLong(k.listedAt());
        out.writeLong(k.answeredAt());
        out.writeLong(k.failedAt());
        out.writeLong(k.returnedAt());
        RouteSnapshot s = k.standing();
        out.writeBoolean(s != null);
        if (s != null) {
            out.writeLong(s.retryAfterRemainingMicros());
            out.writeFloat((float) s.limitPerSecond());
            out.writeFloat((float) s.usualRatePerSecond());
            out.writeFloat((float) s.responseTimeMicros());
            out.writeBoolean(s.circuitOpen());
            out.writeLong(s.warmUpRemainingMicros());
        }
    }

    /** Reads a whole file that holds a picture. */
    static Snapshot picture(byte[] file) throws UnreadableException {
        ByteBuffer all = ByteBuffer.wrap(file);
        readHead(all);
        byte[] payload = RecordFile.next(all);
        if (payload == null || all.hasRemaining()) {
            throw new UnreadableException("it is torn, or its checksum is wrong");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            String owner = in.readUTF();
            long generation = in.readLong();
            ClockReading at = new ClockReading(in.readLong(), in.readLong(), in.readUTF());
            long time = in.readLong();
            long revision = in.readLong();
            int count = in.readInt();
            if (count < 0 || count > MOST_ENDPOINTS) {
                throw new UnreadableException("it names " + count + " endpoints");
            }
            List<KnownEndpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                endpoints.add(known(in));
            }
            return new Snapshot(owner, generation, at, time, revision, endpoints);
        } catch (UnreadableException e) {
            throw e;
        } catch (IOException | IllegalArgumentException e) {
            // Guards against bytes whose checksum is right and that make no sense all the same.
            throw new UnreadableException("it makes no sense: " + e.getMessage());
        }
    }

    private static KnownEndpoint known(DataInputStream in) throws IOException {
        EndpointEntry listed = new EndpointEntry(
                text(in), in.readInt(), text(in), text(in), of(Availability.values(), in.readByte()), number(in));
        String address = text(in);
        KnownEndpoint.State state = of(KnownEndpoint.State.values(), in.readByte());
        long listedAt = in.readLong();
        long answeredAt = in.readLong();
        long failedAt = in.readLong();
        long returnedAt = in.readLong();
        RouteSnapshot standing = in.readBoolean()
                ? new RouteSnapshot(
                        listed.route(),
                        in.readLong(),
                        number(in),
                        number(in),
                        number(in),
                        in.readBoolean(),
                        in.readLong())
                : null;
        return new KnownEndpoint(listed, address, state, listedAt, answeredAt, failedAt, returnedAt, standing);
    }

    private static String text(DataInputStream in) throws IOException {
        String text = in.readUTF();
        if (text.length() > MOST_TEXT) {
            throw new UnreadableException("a name of " + text.length() + " characters");
        }
        return text;
    }

    private static double number(DataInputStream in) throws IOException {
        float number = in.readFloat();
        if (!(number >= 0 && number < Float.POSITIVE_INFINITY)) {
            throw new UnreadableException("a rate or span of " + number);
        }
        return number;
    }

    private static <T> T of(T[] values, byte ordinal) throws UnreadableException {
        if (ordinal < 0 || ordinal >= values.length) {
            throw new UnreadableException("an unknown state " + ordinal);
        }
        return values[ordinal];
    }

    /** The start of a file of notes: its head and the generation of the picture that they follow. */
    static byte[] notesHead(long generation) {
        byte[] record = new byte[RecordFile.HEAD + Long.BYTES];
        ByteBuffer.wrap(record).putLong(RecordFile.HEAD, generation);
        return ByteBuffer.allocate(HEAD + record.length)
                .put(head())
                .put(RecordFile.seal(record))
                .array();
    }

    /** A note as a record. */
    static byte[] note(SnapshotDelta note) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(new byte[RecordFile.HEAD]);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(note.kind().ordinal());
        out.writeUTF(note.id());
        out.writeLong(note.at());
        return RecordFile.seal(bytes.toByteArray());
    }

    /** The generation that a file of notes follows; its records are next. */
    static long readNotesHead(ByteBuffer file) throws UnreadableException {
        readHead(file);
        byte[] payload = RecordFile.next(file);
        if (payload == null || payload.length != Long.BYTES) {
            throw new UnreadableException("it is torn at its head");
        }
        return ByteBuffer.wrap(payload).getLong();
    }

    /** The next note, or null at the end and where one is torn. */
    static SnapshotDelta nextNote(ByteBuffer file) {
        byte[] payload = RecordFile.next(file);
        if (payload == null) {
            return null;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            return new SnapshotDelta(of(SnapshotDelta.Kind.values(), in.readByte()), in.readUTF(), in.readLong());
        } catch (IOException e) {
            return null;
        }
    }
}
