package loftflow.warmstart.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import loftflow.recordfile.RecordFile;

/** What the store does to files, one step a call, so that a test can fail or end the process at each. */
interface SnapshotFolder {
    /** Everything in a file; null where there is none. */
    byte[] read(String name) throws IOException;

    /** Writes a file anew; where {@code sync}, it is on the disk when this returns. */
    void write(String name, byte[] bytes, boolean sync) throws IOException;

    /** Writes behind what a file holds; half of it is taken back where that fails. */
    void append(String name, byte[] bytes) throws IOException;

    /** Puts a file in the place of another, in one step. */
    void move(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** The real one. */
    static SnapshotFolder at(Path path) {
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
                    RecordFile.write(file, bytes, 0);
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
            public void move(String from, String to) throws IOException {
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
