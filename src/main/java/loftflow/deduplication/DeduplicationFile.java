package loftflow.deduplication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loftflow.log.Log;
import loftflow.recordfile.RecordFile;

/**
 * A deduplication window that outlasts the process, in an append-only file of records. Once the file holds more than
 * twice as many records as ids are retained, a compaction replaces it by one without expired ids. Appending needs no
 * sync: what was written outlasts the process, and nothing outlasts the machine.
 *
 * <p>A record's payload is the time at which the id was accepted, in microseconds since 1970 as a big-endian
 * {@code long}, and the id in UTF-8.
 */
public final class DeduplicationFile implements Deduplicator, AutoCloseable {
    private static final String NAME = "seen.log";
    private static final String UNFINISHED_NAME = "seen.new";
    private static final int MAX_ID_BYTES = 1_000;
    /** Records beyond twice the number of retained ids that a compaction waits for. */
    private static final int COMPACTION_SLACK_RECORDS = 1_000;

    private static final long COMPACTION_RETRY_MICROS = TimeUnit.SECONDS.toMicros(1);

    private final Path folder;
    private final LongSupplier clockMicros;
    private final DeduplicationWindow window;
    private FileChannel file;
    private long sizeBytes;
    private int records;
    /** Set from a failed append to the next compaction: the file may lack ids, and may end in a torn record. */
    private boolean isBroken;

    private long nextCompactionMicros;

    /**
     * Opens the file of a folder, which is created where it is missing; a torn tail is removed.
     *
     * @param windowMicros for how long an id is retained
     * @param capacity how many ids are retained at most
     * @param clockMicros the time in microseconds since 1970
     */
    public DeduplicationFile(Path folder, long windowMicros, int capacity, LongSupplier clockMicros)
            throws IOException {
        this.folder = folder;
        this.clockMicros = clockMicros;
        window = new DeduplicationWindow(windowMicros, capacity);
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(UNFINISHED_NAME));
        file = FileChannel.open(
                folder.resolve(NAME), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        replay();
    }

    @Override
    public boolean contains(String id) {
        return window.contains(id, clockMicros.getAsLong());
    }

    /** Also false while the file can't be written: an id that is not in it would not outlast the process. */
    @Override
    public boolean hasCapacity() {
        if (isBroken && clockMicros.getAsLong() >= nextCompactionMicros) {
            compact();
        }
        return !isBroken && window.hasCapacity(clockMicros.getAsLong());
    }

    @Override
    public void add(String id) {
        long nowMicros = clockMicros.getAsLong();
        window.add(id, nowMicros);
        append(record(id, nowMicros));
        if (records > 2 * window.size() + COMPACTION_SLACK_RECORDS && nowMicros >= nextCompactionMicros) {
            compact();
        }
    }

    private void append(byte[] record) {
        try {
            RecordFile.writeFully(file, record, sizeBytes);
            sizeBytes += record.length;
            records++;
        } catch (IOException e) {
            Log.line("deduplication: append failed, no more messages are accepted over AMQP error=" + e.getMessage());
            isBroken = true;
        }
    }

    private static byte[] record(String id, long acceptedAtMicros) {
        byte[] idBytes = id.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[RecordFile.HEADER_BYTES + Long.BYTES + idBytes.length];
        ByteBuffer.wrap(record)
                .position(RecordFile.HEADER_BYTES)
                .putLong(acceptedAtMicros)
                .put(idBytes);
        return RecordFile.seal(record);
    }

    /** Replaces the file by one that holds the retained ids only. */
    private void compact() {
        try {
            FileChannel next = FileChannel.open(
                    folder.resolve(UNFINISHED_NAME),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE);
            long writtenBytes = writeRetained(next);
            file.close();
            file = next;
            sizeBytes = writtenBytes;
            records = window.size();
            isBroken = false;
        } catch (IOException e) {
            Log.line("deduplication: compaction failed error=" + e.getMessage());
            // Without a pause, each message would start a compaction on a disk that is full.
            nextCompactionMicros = clockMicros.getAsLong() + COMPACTION_RETRY_MICROS;
        }
    }

    /** Writes every retained id and puts the new file in the place of the old one; the bytes written. */
    private long writeRetained(FileChannel next) throws IOException {
        try {
            long writtenBytes = 0;
            for (Map.Entry<String, Long> id : window.all().entrySet()) {
                byte[] record = record(id.getKey(), id.getValue());
                RecordFile.writeFully(next, record, writtenBytes);
                writtenBytes += record.length;
            }
            Files.move(folder.resolve(UNFINISHED_NAME), folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
            return writtenBytes;
        } catch (IOException e) {
            next.close();
            throw e;
        }
    }

    private void replay() throws IOException {
        ByteBuffer all = RecordFile.readAll(file);
        byte[] payload = RecordFile.readNext(all);
        while (payload != null && payload.length > Long.BYTES && payload.length <= Long.BYTES + MAX_ID_BYTES) {
            String id = new String(payload, Long.BYTES, payload.length - Long.BYTES, StandardCharsets.UTF_8);
            window.add(id, ByteBuffer.wrap(payload).getLong());
            records++;
            sizeBytes = all.position();
            payload = RecordFile.readNext(all);
        }
        if (sizeBytes < file.size()) {
            Log.line("deduplication: torn tail truncated bytes=" + (file.size() - sizeBytes));
            file.truncate(sizeBytes);
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
