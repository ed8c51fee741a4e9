package loftflow.recordfile;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32;

/**
 * Framing of records in an append-only file. A record is a header of 8 bytes, the payload's length and its CRC-32 in
 * big-endian order, and the payload, which has at least one byte. A record that is cut short or whose checksum differs
 * is torn; nothing behind it can be read.
 */
public final class RecordFile {
    /** Bytes of a record's header. */
    public static final int HEADER_BYTES = Integer.BYTES * 2;

    private RecordFile() {}

    /**
     * Fills in the header of a record.
     *
     * @param record {@link #HEADER_BYTES} bytes for the header, then the payload; changed in place
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
     * @param all the content of a file; its position moves behind the record, or anywhere where null is returned
     * @return the payload, or null at the end and where the record is torn
     */
    public static byte[] readNext(ByteBuffer all) {
        if (all.remaining() < HEADER_BYTES) {
            return null;
        }
        int length = all.getInt();
        int expectedChecksum = all.getInt();
        if (length <= 0 || length > all.remaining()) {
            return null;
        }
        byte[] payload = new byte[length];
        all.get(payload);
        return checksum(payload, 0, length) == expectedChecksum ? payload : null;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /** Reads the whole content of a file, whatever the channel's position. */
    public static ByteBuffer readAll(FileChannel file) throws IOException {
        ByteBuffer content = ByteBuffer.allocate((int) Math.min(file.size(), Integer.MAX_VALUE - HEADER_BYTES));
        while (content.hasRemaining() && file.read(content, content.position()) >= 0) {
            continue;
        }
        return content.flip();
    }

    /**
     * Writes all of some bytes at a position of a file.
     *
     * @throws IOException where the disk is full or fails; some of the bytes may be written then
     */
    public static void writeFully(FileChannel file, byte[] bytes, long at) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            file.write(remaining, at + remaining.position());
        }
    }

    /**
     * Writes all of some bytes at the end of a file, or none of them.
     *
     * @param end the file's size
     * @throws IOException where the disk is full or fails; the file has its former size then, unless that fails too
     */
    public static void append(FileChannel file, byte[] bytes, long end) throws IOException {
        try {
            writeFully(file, bytes, end);
        } catch (IOException e) {
            file.truncate(end);
            throw e;
        }
    }
}
