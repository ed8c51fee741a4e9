package loftflow.recordfile;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.zip.CRC32;

/** Records in a file, each with its length and checksum ahead, 4 bytes each. */
public final class RecordFile {
    /** Bytes of a record ahead of its payload. */
    public static final int HEAD = Integer.BYTES * 2;

    private RecordFile() {}

    /** Fills the head of a record whose payload stands behind the {@link #HEAD} bytes that are left for it. */
    public static byte[] seal(byte[] record) {
        CRC32 crc = new CRC32();
        crc.update(record, HEAD, record.length - HEAD);
        ByteBuffer.wrap(record).putInt(record.length - HEAD).putInt((int) crc.getValue());
        return record;
    }

    /** The next record's payload, or null at the end and where a record is not whole. */
    public static byte[] next(ByteBuffer all) {
        if (all.remaining() < HEAD) {
            return null;
        }
        int length = all.getInt();
        int expected = all.getInt();
        if (length <= 0 || length > all.remaining()) {
            return null;
        }
        byte[] payload = new byte[length];
        all.get(payload);
        CRC32 crc = new CRC32();
        crc.update(payload);
        return (int) crc.getValue() == expected ? payload : null;
    }

    /** Everything that a file holds. */
    public static ByteBuffer all(FileChannel file) throws IOException {
        ByteBuffer all = ByteBuffer.allocate((int) Math.min(file.size(), Integer.MAX_VALUE - HEAD));
        while (all.hasRemaining() && file.read(all, all.position()) >= 0) {
            continue;
        }
        return all.flip();
    }

    /** Writes all of some bytes at a place. */
    public static void write(FileChannel file, byte[] bytes, long at) throws IOException {
        ByteBuffer rest = ByteBuffer.wrap(bytes);
        while (rest.hasRemaining()) {
            file.write(rest, at + rest.position());
        }
    }

    /** Writes all of some bytes at the end of a file, or nothing: half of them are cut off again. */
    public static void append(FileChannel file, byte[] bytes, long end) throws IOException {
        try {
            write(file, bytes, end);
        } catch (IOException e) {
            // Guards against half a record that the next one would be written behind.
            file.truncate(end);
            throw e;
        }
    }
}
