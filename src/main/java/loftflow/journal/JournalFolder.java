package loftflow.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * The segment files of a journal. One segment is in use. A compaction writes the next one to a temporary file and
 * renames it atomically once it is complete, so the newest segment is complete at any time.
 */
final class JournalFolder {
    private static final String SEGMENT_NAME = "journal-%010d.log";
    private static final String SEGMENT_PATTERN = "journal-\\d{10}\\.log";
    private static final String TEMPORARY_NAME = "journal.new";

    private final Path folder;

    JournalFolder(Path folder) {
        this.folder = folder;
    }

    /** Opens the newest segment, or creates the first one; deletes older segments and an unfinished compaction. */
    JournalSegment openNewest() throws IOException {
        Files.createDirectories(folder);
        Files.deleteIfExists(temporaryFile());
        List<Path> segments = segments();
        if (segments.isEmpty()) {
            return JournalSegment.open(segment(0), 0);
        }
        // An older segment remains if the process ended between a compaction and the deletion of the replaced segment.
        Path newest = segments.get(segments.size() - 1);
        for (Path older : segments.subList(0, segments.size() - 1)) {
            Files.delete(older);
        }
        return JournalSegment.open(newest, number(newest));
    }

    /** Appends the complete content of a new segment. */
    interface ContentWriter {
        void writeTo(JournalSegment segment) throws IOException;
    }

    /**
     * Writes the segment that is to replace the current one.
     *
     * @throws IOException if the disk is full or a write fails; no part of the new segment remains then
     */
    JournalSegment writeNext(JournalSegment current, ContentWriter content) throws IOException {
        long number = current.number() + 1;
        FileChannel channel = FileChannel.open(
                temporaryFile(),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        try {
            JournalSegment next = new JournalSegment(channel, segment(number), number);
            content.writeTo(next);
            Files.move(temporaryFile(), next.path(), StandardCopyOption.ATOMIC_MOVE);
            return next;
        } catch (IOException e) {
            channel.close();
            Files.deleteIfExists(temporaryFile());
            throw e;
        }
    }

    private List<Path> segments() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().matches(SEGMENT_PATTERN))
                    .sorted()
                    .toList();
        }
    }

    private Path temporaryFile() {
        return folder.resolve(TEMPORARY_NAME);
    }

    private Path segment(long number) {
        return folder.resolve(SEGMENT_NAME.formatted(number));
    }

    private static long number(Path segment) {
        return Long.parseLong(segment.getFileName().toString().replaceAll("\\D", ""));
    }
}
