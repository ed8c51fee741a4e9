package loftflow.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * The segment files of a journal. One segment is in use; during a compaction the next one is written beside it under
 * another name and gets its own in one step once it is whole, so the newest segment is whole at any time.
 */
final class JournalFolder {
    private static final String SEGMENT_NAME = "journal-%010d.log";
    private static final String SEGMENT_PATTERN = "journal-\\d{10}\\.log";
    private static final String UNFINISHED_NAME = "journal.new";

    private final Path folder;

    JournalFolder(Path folder) {
        this.folder = folder;
    }

    /** Opens the newest segment, or a first one. Older ones and an unfinished compaction are removed. */
    JournalSegment openNewest() throws IOException {
        Files.createDirectories(folder);
        Files.deleteIfExists(unfinished());
        List<Path> segments = segments();
        if (segments.isEmpty()) {
            return JournalSegment.open(segment(0), 0);
        }
        // The process may have ended after a compaction and before the removal of the segment that it replaced.
        Path newest = segments.get(segments.size() - 1);
        for (Path older : segments.subList(0, segments.size() - 1)) {
            Files.delete(older);
        }
        return JournalSegment.open(newest, number(newest));
    }

    /** Appends the whole content of a new segment. */
    interface Content {
        void writeTo(JournalSegment segment) throws IOException;
    }

    /**
     * Writes the segment that is to replace another one.
     *
     * @throws IOException where the disk is full or fails; nothing of the new segment is left then
     */
    JournalSegment writeNext(JournalSegment current, Content content) throws IOException {
        long number = current.number() + 1;
        FileChannel channel = FileChannel.open(
                unfinished(),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        try {
            JournalSegment next = new JournalSegment(channel, segment(number), number);
            content.writeTo(next);
            Files.move(unfinished(), next.path(), StandardCopyOption.ATOMIC_MOVE);
            return next;
        } catch (IOException e) {
            channel.close();
            Files.deleteIfExists(unfinished());
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

    private Path unfinished() {
        return folder.resolve(UNFINISHED_NAME);
    }

    private Path segment(long number) {
        return folder.resolve(SEGMENT_NAME.formatted(number));
    }

    private static long number(Path segment) {
        return Long.parseLong(segment.getFileName().toString().replaceAll("\\D", ""));
    }
}
