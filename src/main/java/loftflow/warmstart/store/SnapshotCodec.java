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
import loftflow.clock.ClockReading;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.RouteSnapshot;
import loftflow.recordfile.RecordFile;
import loftflow.warmstart.KnownEndpoint;
import loftflow.warmstart.Snapshot;
import loftflow.warmstart.SnapshotDelta;

/**
 * Binary format of snapshot and delta files. A file starts with a magic number and a format version, followed by
 * records with length and checksum ({@link RecordFile}). A snapshot file holds one record. A delta file holds a record
 * with the generation of its snapshot, then one record for each delta.
 */
final class SnapshotCodec {
    private static final byte[] MAGIC = {'l', 'o', 'f', 't', 'r', 'm'};
    /** Version of the format, incremented with each change. Files of other versions are not read. */
    static final short FORMAT = 1;
    /** Size of the magic number and the version. */
    static final int HEADER_BYTES = MAGIC.length + Short.BYTES;

    private static final int MAX_TEXT_CHARACTERS = 1 << 10;
    private static final int MAX_ENDPOINTS = 1 << 20;

    /** Thrown if a file can't be used; the message gives the reason. */
    static final class UnreadableException extends IOException {
        private static final long serialVersionUID = 1L;

        UnreadableException(String message) {
            super(message);
        }
    }

    private SnapshotCodec() {}

    /** Returns the magic number and version with which every file starts. */
    static byte[] header() {
        return ByteBuffer.allocate(HEADER_BYTES).put(MAGIC).putShort(FORMAT).array();
    }

    /** Checks the header of a file and advances the buffer past it. */
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
        return withHeader(RecordFile.seal(bytes.toByteArray()));
    }

    private static byte[] withHeader(byte[] record) {
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
            // The checksum matches, but the content is not a valid snapshot.
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

    /** Returns the start of a delta file: the file header and the generation of its snapshot. */
    static byte[] deltaFileHeader(long generation) {
        byte[] record = new byte[RecordFile.HEADER_BYTES + Long.BYTES];
        ByteBuffer.wrap(record).putLong(RecordFile.HEADER_BYTES, generation);
        return withHeader(RecordFile.seal(record));
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

    /** Reads the start of a delta file up to its first delta. Returns the generation of its snapshot. */
    static long readDeltaFileHeader(ByteBuffer file) throws UnreadableException {
        readHeader(file);
        byte[] payload = RecordFile.readNext(file);
        if (payload == null || payload.length != Long.BYTES) {
            throw new UnreadableException("torn header");
        }
        return ByteBuffer.wrap(payload).getLong();
    }

    /** Decodes the next delta. Returns null at the end of the file, or if the record is torn or of an unknown kind. */
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
