package loftflow.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import loftflow.recordfile.RecordFile;

/**
 * One file of the journal: records behind one another. Appending needs no sync: what was written outlasts the process,
 * and nothing outlasts the machine.
 */
final class JournalSegment implements AutoCloseable {
    private final FileChannel channel;
    private final Path path;
    private final long number;
    private long sizeBytes;

    /** An empty segment, written by {@code channel}, whose file stands at {@code path} once it is in use. */
    JournalSegment(FileChannel channel, Path path, long number) {
        this.channel = channel;
        this.path = path;
        this.number = number;
    }

    /** Opens a file, or creates an empty one. Its records count from {@link #readRecord} on. */
    static JournalSegment open(Path path, long number) throws IOException {
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        return new JournalSegment(channel, path, number);
    }

    Path path() {
        return path;
    }

    /** Counts the segments of a folder; each compaction begins the next one. */
    long number() {
        return number;
    }

    /** Bytes of whole records. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** Everything that the file holds, for {@link #readRecord}. */
    ByteBuffer readAll() throws IOException {
        return RecordFile.readAll(channel);
    }

    /** The payload of the next whole record of {@link #readAll}, or null at the end and where a record is torn. */
    byte[] readRecord(ByteBuffer all) {
        byte[] payload = RecordFile.readNext(all);
        if (payload != null) {
            sizeBytes = all.position();
        }
        return payload;
    }

    /** Bytes in the file behind the last whole record. */
    long tailBytes() throws IOException {
        return channel.size() - sizeBytes;
    }

    /**
     * Appends a record.
     *
     * @throws IOException where the disk is full or fails; part of the record may then follow the whole ones until
     *     {@link #truncateTail}
     */
    void append(byte[] record) throws IOException {
        RecordFile.writeFully(channel, record, sizeBytes);
        sizeBytes += record.length;
    }

    /** Removes what stands behind the last whole record: records behind a torn one could not be replayed. */
    void truncateTail() throws IOException {
        channel.truncate(sizeBytes);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
