package loftflow.recordfile;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordFileTest {
    @TempDir
    Path folder;

    private static byte[] record(int... payload) {
        byte[] record = new byte[RecordFile.HEADER_BYTES + payload.length];
        for (int i = 0; i < payload.length; i++) {
            record[RecordFile.HEADER_BYTES + i] = (byte) payload[i];
        }
        return RecordFile.seal(record);
    }

    /** The CRC-32 of a single zero byte is d202ef8d. */
    @Test
    void headerContainsLengthAndChecksum() {
        assertArrayEquals(new byte[] {0, 0, 0, 1, (byte) 0xd2, 2, (byte) 0xef, (byte) 0x8d, 0}, record(0));
    }

    @Test
    void recordsAreReadInTheOrderOfWriting() throws IOException {
        try (FileChannel file = FileChannel.open(
                folder.resolve("records"),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            RecordFile.append(file, record(1, 2), 0);
            RecordFile.append(file, record(3), file.size());
            ByteBuffer content = RecordFile.readAll(file);
            assertArrayEquals(new byte[] {1, 2}, RecordFile.readNext(content));
            assertArrayEquals(new byte[] {3}, RecordFile.readNext(content));
            assertNull(RecordFile.readNext(content));
            assertEquals(file.size(), content.position());
        }
    }

    @Test
    void tornRecordIsNotRead() {
        byte[] whole = record(1, 2, 3);
        for (int length = 0; length < whole.length; length++) {
            assertNull(
                    RecordFile.readNext(ByteBuffer.wrap(Arrays.copyOf(whole, length))),
                    "read although truncated to " + length + " bytes");
        }
    }

    @Test
    void recordWithAWrongChecksumIsNotRead() {
        byte[] flipped = record(1, 2, 3);
        flipped[flipped.length - 1] ^= 1;
        assertNull(RecordFile.readNext(ByteBuffer.wrap(flipped)));
    }

    @Test
    void recordWithoutPayloadIsNotRead() {
        assertNull(RecordFile.readNext(ByteBuffer.wrap(record())));
    }
}
