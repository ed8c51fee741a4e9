package loftflow.recordfile;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32;

/**
 * Reads and writes the records of an append-only file. A record consists of an 8-byte header, which is the payload's
 * length and its CRC-32 in big-endian order, and a payload of at least one byte. A record that is truncated or whose
 * checksum does not match is torn; the records after it can't be read.
 */
public final class RecordFile {
    /** Size of a record's header, in bytes. */
    public static final int HEADER_BYTES = Integer.BYTES * 2;

    private RecordFile() {}

    /**
     * Fills in the header of a record.
     *
     * @param record {@link #HEADER_BYTES} bytes for the header, then the payload; modified in place
     * @return the same array
     */
    public static byte[] seal(byte[] record) {
        int length = record.length - HEADER_BYTES;
        ByteBuffer.wrap(record).putInt(length).putInt(checksum(record, HEADER_BYTES, length));
        return record;
    }

    /**
     * Reads the next record.
     *
     * @param content the content of a file; its position moves to the end of the record, and is undefined if null is
     *     returned
     * @return the payload, or null at the end of the content or if the record is torn
     */
    public static byte[] readNext(ByteBuffer content) {
        if (content.remaining() < HEADER_BYTES) {
            return null;
        }
        int length = content.getInt();
        int expectedChecksum = content.getInt();
        if (length <= 0 || length > content.remaining()) {
            return null;
        }
        byte[] payload = new byte[length];
        content.get(payload);
        return checksum(payload, 0, length) == expectedChecksum ? payload : null;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /** Reads the whole content of a file, independent of the channel's position. */
    public static ByteBuffer readAll(FileChannel file) throws IOException {
        ByteBuffer content = ByteBuffer.allocate((int) Math.min(file.size(), Integer.MAX_VALUE - HEADER_BYTES));
        while (content.hasRemaining() && file.read(content, content.position()) >= 0) {
            continue;
        }
        return content.flip();
    }

    /**
     * Writes an array of bytes to a file.
     *
     * @param position the offset in the file at which to write
     * @throws IOException if the disk is full or the write fails; part of the bytes may have been written then
     */
    public static void writeFully(FileChannel file, byte[] bytes, long position) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            if (file.write(remaining, position + remaining.position()) <= 0) {
                throw new IOException("no byte could be written");
            }
        }
    }

    /**
     * Appends all of an array of bytes to a file, or nothing.
     *
     * @param fileSizeBytes the current size of the file, in bytes
     * @throws IOException if the disk is full or the write fails; the file is then truncated to its former size, unless
     *     that fails too
     */
    public static void append(FileChannel file, byte[] bytes, long fileSizeBytes) throws IOException {
        try {
            writeFully(file, bytes, fileSizeBytes);
        } catch (IOException e) {
            file.truncate(fileSizeBytes);
            throw e;
        }
    }
}
