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
import java.util.function.LongSupplier;
import loftflow.log.Log;
import loftflow.recordfile.RecordFile;

/**
 * A memory that outlasts the process: a file of records, each with its length and checksum, that is written anew
 * without
 * what is over when it has grown to twice what is remembered. As with the journal, appending needs no sync.
 */
public final class DeduplicationFile implements Deduplicator, AutoCloseable {
    private static final String NAME = "seen.log";
    private static final String UNFINISHED = "seen.new";
    private static final int MOST_ID = 1_000;
    /** Records beyond twice the ids that are remembered, before the file is written anew. */
    private static final int SLACK = 1_000;

    private static final long PAUSE = 1_000_000;

    private final Path folder;
    private final LongSupplier clock;
    private final DeduplicationWindow ids;
    private FileChannel file;
    private long size;
    private int records;
    private boolean broken;
    private long nextTry;

    /**
     * Opens the memory of a folder; a torn tail is cut off.
     *
     * @param span microseconds for which an id is remembered
     * @param most ids that are remembered
     * @param clock microseconds since 1970
     */
    public DeduplicationFile(Path folder, long span, int most, LongSupplier clock) throws IOException {
        this.folder = folder;
        this.clock = clock;
        ids = new DeduplicationWindow(span, most);
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(UNFINISHED));
        file = FileChannel.open(
                folder.resolve(NAME), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        replay();
    }

    @Override
    public boolean contains(String id) {
        return ids.contains(id, clock.getAsLong());
    }

    /** Also false where the file can't be written: what is not on file would be forgotten by a kill. */
    @Override
    public boolean hasRoom() {
        if (broken && clock.getAsLong() >= nextTry) {
            rewrite();
        }
        return !broken && ids.hasRoom(clock.getAsLong());
    }

    @Override
    public void add(String id) {
        long now = clock.getAsLong();
        ids.add(id, now);
        append(record(id, now));
        if (records > 2 * ids.size() + SLACK && now >= nextTry) {
            rewrite();
        }
    }

    private void append(byte[] record) {
        try {
            RecordFile.write(file, record, size);
            size += record.length;
            records++;
        } catch (IOException e) {
            Log.line("seen: can't be written, nothing is taken on that must not be taken on twice: " + e.getMessage());
            broken = true;
        }
    }

    private static byte[] record(String id, long at) {
        byte[] text = id.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[RecordFile.HEAD + Long.BYTES + text.length];
        ByteBuffer.wrap(record).position(RecordFile.HEAD).putLong(at).put(text);
        return RecordFile.seal(record);
    }

    /** Writes what is remembered to a new file, which then takes the place of the old one. */
    private void rewrite() {
        Path unfinished = folder.resolve(UNFINISHED);
        try {
            FileChannel next = FileChannel.open(
                    unfinished,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE);
            long written = 0;
            try {
                for (Map.Entry<String, Long> one : ids.all().entrySet()) {
                    byte[] record = record(one.getKey(), one.getValue());
                    RecordFile.write(next, record, written);
                    written += record.length;
                }
                Files.move(unfinished, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException e) {
                next.close();
                throw e;
            }
            file.close();
            file = next;
            size = written;
            records = ids.size();
            broken = false;
        } catch (IOException e) {
            Log.line("seen: can't be written anew: " + e.getMessage());
            // Guards against a new try with each message on a disk that is full.
            nextTry = clock.getAsLong() + PAUSE;
        }
    }

    private void replay() throws IOException {
        ByteBuffer all = RecordFile.all(file);
        byte[] payload = RecordFile.next(all);
        while (payload != null && payload.length > Long.BYTES && payload.length <= Long.BYTES + MOST_ID) {
            ids.add(
                    new String(payload, Long.BYTES, payload.length - Long.BYTES, StandardCharsets.UTF_8),
                    ByteBuffer.wrap(payload).getLong());
            records++;
            size = all.position();
            payload = RecordFile.next(all);
        }
        if (size < file.size()) {
            Log.line("seen: a torn tail of " + (file.size() - size) + " bytes is cut off");
            file.truncate(size);
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
