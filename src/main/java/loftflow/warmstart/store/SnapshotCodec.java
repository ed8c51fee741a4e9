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
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;
import loftflow.recordfile.RecordFile;
import loftflow.warmstart.ClockReading;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;

/**
 * Binary format of snapshot and delta files. A file starts with a magic number and a format version; records with
 * length and checksum follow ({@link RecordFile}). A snapshot file holds one record. A delta file holds a record with
 * the generation of the snapshot that it follows, then one record a delta.
 */
final class SnapshotCodec {
    private static final byte[] MAGIC = {'l', 'o', 'f', 't', 'r', 'm'};
    /** Version of the format, raised with each change. Files of another version are not read. */
    static final short FORMAT = 1;
    /** Size of the magic number and the version. */
    static final int HEADER_BYTES = MAGIC.length + Short.BYTES;

    private static final int MAX_TEXT_CHARACTERS = 1 << 10;
    private static final int MAX_ENDPOINTS = 1 << 20;

    /** A file that can't be used; the message says why. */
    static final class UnreadableException extends IOException {
        private static final long serialVersionUID = 1L;

        UnreadableException(String message) {
            super(message);
        }
    }

    private SnapshotCodec() {}

    /** Magic number and version, with which every file starts. */
    static byte[] header() {
        return ByteBuffer.allocate(HEADER_BYTES).put(MAGIC).putShort(FORMAT).array();
    }

    /** Checks the header of a file and advances behind it. */
    static void readHeader(ByteBuffer file) throws UnreadableException {
        if (file.remaining() < HEADER_BYTES) {
            throw new UnreadableException("torn header");
        }
        byte[] magic = new byte[MAGIC.length];
        file.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            throw new UnreadableException("not a warm start file");
        }
        short format = file.getShort();
        if (format != FORMAT) {
            throw new UnreadableException("format is " + format + ", supported is " + FORMAT);
        }
    }

    /** Encodes a snapshot as a whole file. */
    static byte[] encodeSnapshot(Snapshot snapshot) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(new byte[RecordFile.HEADER_BYTES]);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeUTF(snapshot.owner());
        out.writeLong(snapshot.generation());
        out.writeLong(snapshot.clocks().wallMicros());
        out.writeLong(snapshot.clocks().uptimeMicros());
        out.writeUTF(snapshot.clocks().bootId());
        out.writeLong(snapshot.relayTimeMicros());
        out.writeLong(snapshot.revision());
        out.writeInt(snapshot.endpoints().size());
        for (KnownEndpoint endpoint : snapshot.endpoints()) {
            writeEndpoint(out, endpoint);
        }
        return file(RecordFile.seal(bytes.toByteArray()));
    }

    private static byte[] file(byte[] record) {
        return ByteBuffer.allocate(HEADER_BYTES + record.length)
                .put(header())
                .put(record)
                .array();
    }

    private static void writeEndpoint(DataOutputStream out, KnownEndpoint endpoint) throws IOException {
        EndpointEntry entry = endpoint.entry();
        out.writeUTF(entry.route());
        out.writeInt(entry.destination());
        out.writeUTF(entry.kind());
        out.writeUTF(entry.zone());
        out.writeByte(StoredCodes.of(entry.availability()));
        out.writeFloat((float) entry.ratePerSecond());
        out.writeUTF(endpoint.address());
        out.writeByte(StoredCodes.of(endpoint.state()));
        out.writeLong(endpoint.listedAtMicros());
        out.writeLong(endpoint.answeredAtMicros());
        out.writeLong(endpoint.failedAtMicros());
        out.writeLong(endpoint.recoveredAtMicros());
        RouteSnapshot route = endpoint.routeSnapshot();
        out.writeBoolean(route != null);
        if (route != null) {
            out.writeLong(route.retryAfterRemainingMicros());
            out.writeFloat((float) route.limitPerSecond());
            out.writeFloat((float) route.usualRatePerSecond());
            out.writeFloat((float) route.responseTimeMicros());
            out.writeBoolean(route.circuitOpen());
            out.writeLong(route.warmUpRemainingMicros());
        }
    }

    /** Decodes a whole snapshot file. */
    static Snapshot decodeSnapshot(byte[] file) throws UnreadableException {
        ByteBuffer buffer = ByteBuffer.wrap(file);
        readHeader(buffer);
        byte[] payload = RecordFile.readNext(buffer);
        if (payload == null || buffer.hasRemaining()) {
            throw new UnreadableException("torn file or wrong checksum");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            return readSnapshot(in);
        } catch (UnreadableException e) {
            throw e;
        } catch (IOException | IllegalArgumentException e) {
            // The checksum is right, yet the content is not that of a snapshot.
            throw new UnreadableException("invalid content: " + e.getMessage());
        }
    }

    private static Snapshot readSnapshot(DataInputStream in) throws IOException {
        String owner = in.readUTF();
        long generation = in.readLong();
        ClockReading clocks = new ClockReading(in.readLong(), in.readLong(), in.readUTF());
        long relayTimeMicros = in.readLong();
        long revision = in.readLong();
        int count = in.readInt();
        if (count < 0 || count > MAX_ENDPOINTS) {
            throw new UnreadableException(count + " endpoints, allowed are 0 to " + MAX_ENDPOINTS);
        }
        List<KnownEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(readEndpoint(in));
        }
        return new Snapshot(owner, generation, clocks, relayTimeMicros, revision, endpoints);
    }

    private static KnownEndpoint readEndpoint(DataInputStream in) throws IOException {
        EndpointEntry entry = new EndpointEntry(
                readText(in),
                in.readInt(),
                readText(in),
                readText(in),
                StoredCodes.availability(in.readByte()),
                readNumber(in));
        String address = readText(in);
        KnownEndpoint.State state = StoredCodes.state(in.readByte());
        long listedAtMicros = in.readLong();
        long answeredAtMicros = in.readLong();
        long failedAtMicros = in.readLong();
        long recoveredAtMicros = in.readLong();
        RouteSnapshot route = in.readBoolean() ? readRoute(in, entry.route()) : null;
        return new KnownEndpoint(
                entry, address, state, listedAtMicros, answeredAtMicros, failedAtMicros, recoveredAtMicros, route);
    }

    private static RouteSnapshot readRoute(DataInputStream in, String routeId) throws IOException {
        return new RouteSnapshot(
                routeId,
                in.readLong(),
                readNumber(in),
                readNumber(in),
                readNumber(in),
                in.readBoolean(),
                in.readLong());
    }

    private static String readText(DataInputStream in) throws IOException {
        String text = in.readUTF();
        if (text.length() > MAX_TEXT_CHARACTERS) {
            throw new UnreadableException(
                    "text of " + text.length() + " characters, allowed are " + MAX_TEXT_CHARACTERS);
        }
        return text;
    }

    private static double readNumber(DataInputStream in) throws IOException {
        float number = in.readFloat();
        if (!(number >= 0 && number < Float.POSITIVE_INFINITY)) {
            throw new UnreadableException("rate or duration of " + number);
        }
        return number;
    }

    /** The start of a delta file: its header and the generation of the snapshot that it follows. */
    static byte[] deltaFileHeader(long generation) {
        byte[] record = new byte[RecordFile.HEADER_BYTES + Long.BYTES];
        ByteBuffer.wrap(record).putLong(RecordFile.HEADER_BYTES, generation);
        return file(RecordFile.seal(record));
    }

    /** Encodes a delta as a record. */
    static byte[] encodeDelta(SnapshotDelta delta) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(new byte[RecordFile.HEADER_BYTES]);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(StoredCodes.of(delta.kind()));
        out.writeUTF(delta.endpointId());
        out.writeLong(delta.atMicros());
        return RecordFile.seal(bytes.toByteArray());
    }

    /** Reads the start of a delta file; the generation that it follows. Its deltas are next. */
    static long readDeltaFileHeader(ByteBuffer file) throws UnreadableException {
        readHeader(file);
        byte[] payload = RecordFile.readNext(file);
        if (payload == null || payload.length != Long.BYTES) {
            throw new UnreadableException("torn header");
        }
        return ByteBuffer.wrap(payload).getLong();
    }

    /** Decodes the next delta; null at the end of the file, and where the record is torn or unknown. */
    static SnapshotDelta decodeNextDelta(ByteBuffer file) {
        byte[] payload = RecordFile.readNext(file);
        if (payload == null) {
            return null;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            return new SnapshotDelta(StoredCodes.kind(in.readByte()), in.readUTF(), in.readLong());
        } catch (IOException e) {
            return null;
        }
    }
}
