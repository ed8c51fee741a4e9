package loftflow.warmstart.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import loftflow.recordfile.RecordFile;

/** File operations of {@link SnapshotStore}, one step per call, so that a test can inject a fault at each step. */
interface SnapshotFolder {
    /** Returns the content of a file; null if the file does not exist. */
    byte[] read(String name) throws IOException;

    /** Creates or overwrites a file. If {@code sync}, the content is on stable storage when this method returns. */
    void write(String name, byte[] bytes, boolean sync) throws IOException;

    /** Appends to an existing file. If the write fails, its partial content is truncated. */
    void append(String name, byte[] bytes) throws IOException;

    /** Atomically renames a file, replacing the target. */
    void replace(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Returns the operations for a folder on disk. */
    static SnapshotFolder onDisk(Path path) {
        return new SnapshotFolder() {
            @Override
            public byte[] read(String name) throws IOException {
                Path file = path.resolve(name);
                return Files.exists(file) ? Files.readAllBytes(file) : null;
            }

            @Override
            public void write(String name, byte[] bytes, boolean sync) throws IOException {
                try (FileChannel file = FileChannel.open(
                        path.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
                    RecordFile.writeFully(file, bytes, 0);
                    if (sync) {
                        file.force(true);
                    }
                }
            }

            @Override
            public void append(String name, byte[] bytes) throws IOException {
                try (FileChannel file = FileChannel.open(path.resolve(name), StandardOpenOption.WRITE)) {
                    RecordFile.append(file, bytes, file.size());
                }
            }

            @Override
            public void replace(String from, String to) throws IOException {
                Files.move(
                        path.resolve(from),
                        path.resolve(to),
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            }

            @Override
            public void delete(String name) throws IOException {
                Files.deleteIfExists(path.resolve(name));
            }
        };
    }
}
