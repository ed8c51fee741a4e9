package loftflow.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import loftflow.recordfile.RecordFile;

/**
 * One file of the journal: a sequence of records. Appending does not sync the file: what is written survives the end
 * of the process, and the journal need not survive the loss of the machine.
 */
final class JournalSegment implements AutoCloseable {
    private final FileChannel channel;
    private final Path path;
    private final long number;
    private long sizeBytes;

    /**
     * Creates a segment; its records count towards {@link #sizeBytes} once {@link #readRecord} has read them.
     *
     * @param channel open for reading, unless the segment is empty, and for writing
     * @param path where its file is once in use
     */
    JournalSegment(FileChannel channel, Path path, long number) {
        this.channel = channel;
        this.path = path;
        this.number = number;
    }

    Path path() {
        return path;
    }

    /** Returns the number of the segment in its folder; each compaction starts the next one. */
    long number() {
        return number;
    }

    /** Returns the total size of the whole records that were read or appended, in bytes. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** Returns the content of the file, for {@link #readRecord}. */
    ByteBuffer readAll() throws IOException {
        return RecordFile.readAll(channel);
    }

    /** Returns the payload of the next record of {@link #readAll}; null at the end or if the next record is torn. */
    byte[] readRecord(ByteBuffer content) {
        byte[] payload = RecordFile.readNext(content);
        if (payload != null) {
            sizeBytes = content.position();
        }
        return payload;
    }

    /** Returns the size of the part of the file after the last whole record, in bytes. */
    long tailBytes() throws IOException {
        return channel.size() - sizeBytes;
    }

    /**
     * Appends a record.
     *
     * @throws IOException if the disk is full or the write fails; part of the record may then remain in the file until
     *     {@link #truncateTail}
     */
    void append(byte[] record) throws IOException {
        RecordFile.writeFully(channel, record, sizeBytes);
        sizeBytes += record.length;
    }

    /** Truncates the file after the last whole record: records after a torn one could not be replayed. */
    void truncateTail() throws IOException {
        channel.truncate(sizeBytes);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
