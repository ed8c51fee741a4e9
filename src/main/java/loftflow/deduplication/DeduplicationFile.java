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
 * A deduplication window that outlasts the process, stored in an append-only file of records. Once the file holds more
 * than twice as many records as retained ids, a compaction replaces it with a file without expired ids. Appends are not
 * synced: written records survive the end of the process, and survival of a machine failure is not required.
 *
 * <p>A record's payload is the time at which the id was accepted, in microseconds since 1970 as a big-endian
 * {@code long}, and the id in UTF-8.
 */
public final class DeduplicationFile implements Deduplicator, AutoCloseable {
    private static final String FILE_NAME = "seen.log";
    private static final String COMPACTION_FILE_NAME = "seen.new";
    private static final int MAX_ID_BYTES = 1_000;
    /** Number of records beyond twice the retained ids at which a compaction starts. */
    private static final int COMPACTION_SLACK_RECORDS = 1_000;

    private static final long COMPACTION_RETRY_MICROS = TimeUnit.SECONDS.toMicros(1);

    private final Path folder;
    private final LongSupplier clockMicros;
    private final DeduplicationWindow window;
    private FileChannel file;
    private long sizeBytes;
    private int records;
    /** True from a failed append to the next successful compaction: the file may lack ids or end in a torn record. */
    private boolean hasFailedAppend;

    private long nextCompactionMicros;

    /**
     * Opens or creates the file in a folder and truncates a torn tail, or replaces the file later if that fails.
     * Creates the folder if it does not exist.
     *
     * @param windowMicros how long an id is retained, in microseconds
     * @param capacity maximum number of retained ids
     * @param clockMicros supplies the time in microseconds since 1970
     */
    public DeduplicationFile(Path folder, long windowMicros, int capacity, LongSupplier clockMicros)
            throws IOException {
        this.folder = folder;
        this.clockMicros = clockMicros;
        window = new DeduplicationWindow(windowMicros, capacity);
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(COMPACTION_FILE_NAME));
        file = FileChannel.open(
                folder.resolve(FILE_NAME),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        replay();
    }

    @Override
    public boolean contains(String id) {
        return window.contains(id, clockMicros.getAsLong());
    }

    /** Also returns false while the file can't be written, since new ids would not outlast the process. */
    @Override
    public boolean hasCapacity() {
        if (hasFailedAppend && clockMicros.getAsLong() >= nextCompactionMicros) {
            compact();
        }
        return !hasFailedAppend && window.hasCapacity(clockMicros.getAsLong());
    }

    @Override
    public void add(String id) {
        long nowMicros = clockMicros.getAsLong();
        window.add(id, nowMicros);
        append(encodeRecord(id, nowMicros));
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
            hasFailedAppend = true;
        }
    }

    private static byte[] encodeRecord(String id, long acceptedAtMicros) {
        byte[] idBytes = id.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[RecordFile.HEADER_BYTES + Long.BYTES + idBytes.length];
        ByteBuffer.wrap(record)
                .position(RecordFile.HEADER_BYTES)
                .putLong(acceptedAtMicros)
                .put(idBytes);
        return RecordFile.seal(record);
    }

    /** Replaces the file with one that holds only the retained ids. */
    private void compact() {
        try {
            FileChannel compacted = FileChannel.open(
                    folder.resolve(COMPACTION_FILE_NAME),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE);
            long writtenBytes = writeRetained(compacted);
            file.close();
            file = compacted;
            sizeBytes = writtenBytes;
            records = window.size();
            hasFailedAppend = false;
        } catch (IOException e) {
            Log.line("deduplication: compaction failed error=" + e.getMessage());
            // Without a delay, each message would start a compaction while the disk is full.
            nextCompactionMicros = clockMicros.getAsLong() + COMPACTION_RETRY_MICROS;
        }
    }

    /** Writes all retained ids to the new file and moves it over the old one. Returns the number of bytes written. */
    private long writeRetained(FileChannel compacted) throws IOException {
        try {
            long writtenBytes = 0;
            for (Map.Entry<String, Long> entry : window.entries().entrySet()) {
                byte[] record = encodeRecord(entry.getKey(), entry.getValue());
                RecordFile.writeFully(compacted, record, writtenBytes);
                writtenBytes += record.length;
            }
            Files.move(folder.resolve(COMPACTION_FILE_NAME), folder.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE);
            return writtenBytes;
        } catch (IOException e) {
            compacted.close();
            throw e;
        }
    }

    private void replay() throws IOException {
        ByteBuffer content = RecordFile.readAll(file);
        byte[] payload = RecordFile.readNext(content);
        while (payload != null && payload.length > Long.BYTES && payload.length <= Long.BYTES + MAX_ID_BYTES) {
            String id = new String(payload, Long.BYTES, payload.length - Long.BYTES, StandardCharsets.UTF_8);
            window.add(id, ByteBuffer.wrap(payload).getLong());
            records++;
            sizeBytes = content.position();
            payload = RecordFile.readNext(content);
        }
        if (sizeBytes < file.size()) {
            truncateTornTail();
        }
    }

    /** Truncates the file; if that fails, nothing is appended before a compaction. */
    private void truncateTornTail() throws IOException {
        long tornBytes = file.size() - sizeBytes;
        try {
            file.truncate(sizeBytes);
            Log.line("deduplication: torn tail truncated bytes=" + tornBytes);
        } catch (IOException e) {
            Log.line("deduplication: torn tail not truncated bytes=" + tornBytes + " error=" + e.getMessage());
            hasFailedAppend = true;
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
