package loftflow.recordfile;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A file with one record. It is replaced as a whole, so that a kill leaves the old record or the new one. */
public final class SingleRecordFile {
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path folder;
    private final String name;

    /**
     * Describes a file, which need not exist.
     *
     * @param folder created by the first write if it does not exist
     */
    public SingleRecordFile(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /**
     * Returns the payload of the record, or null if there is no file.
     *
     * @throws IOException if the file can't be read or its record is torn
     */
    public byte[] read() throws IOException {
        byte[] content;
        try {
            content = Files.readAllBytes(folder.resolve(name));
        } catch (NoSuchFileException e) {
            return null;
        }
        byte[] payload = RecordFile.readNext(ByteBuffer.wrap(content));
        if (payload == null) {
            throw new IOException("the record is torn");
        }
        return payload;
    }

    /**
     * Replaces the record.
     *
     * @param payload at least one byte
     * @throws IOException if the folder can't be written; the stored record is unchanged then
     */
    public void write(byte[] payload) throws IOException {
        Files.createDirectories(folder);
        byte[] record = new byte[RecordFile.HEADER_BYTES + payload.length];
        System.arraycopy(payload, 0, record, RecordFile.HEADER_BYTES, payload.length);
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            RecordFile.writeFully(channel, RecordFile.seal(record), 0);
        }
        Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    }
}
