package loftflow.journal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Set;
import loftflow.log.Log;

/**
 * The segment files of a journal. One segment is in use. A compaction writes the next one to a temporary file and
 * renames it atomically once it is complete, so the newest segment is complete at any time.
 */
final class JournalFolder {
    private static final String SEGMENT_NAME = "journal-%010d.log";
    private static final String SEGMENT_PATTERN = "journal-\\d{10}\\.log";
    private static final String TEMPORARY_NAME = "journal.new";

    /** Opens the files of a journal. */
    interface FileOpener {
        FileChannel open(Path file, Set<? extends OpenOption> options) throws IOException;
    }

    private static final Set<StandardOpenOption> EXISTING_SEGMENT_OPTIONS =
            Set.of(StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    private static final Set<StandardOpenOption> NEXT_SEGMENT_OPTIONS =
            Set.of(StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);

    private final Path folder;
    private final FileOpener files;

    JournalFolder(Path folder, FileOpener files) {
        this.folder = folder;
        this.files = files;
    }

    /** Opens the newest segment, or creates the first one; deletes older segments and an unfinished compaction. */
    JournalSegment openNewest() throws IOException {
        Files.createDirectories(folder);
        deleteObsolete(temporaryFile());
        List<Path> segments = segments();
        if (segments.isEmpty()) {
            return openSegment(segment(0), 0);
        }
        // An older segment remains if the process ended between a compaction and the deletion of the replaced segment.
        Path newest = segments.get(segments.size() - 1);
        for (Path older : segments.subList(0, segments.size() - 1)) {
            deleteObsolete(older);
        }
        return openSegment(newest, number(newest));
    }

    private JournalSegment openSegment(Path path, long number) throws IOException {
        return new JournalSegment(files.open(path, EXISTING_SEGMENT_OPTIONS), path, number);
    }

    /** Deletes a file that is not read; if that fails, a later start does it. */
    private static void deleteObsolete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Log.line("journal: obsolete file not deleted error=" + e.getMessage());
        }
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
        FileChannel channel = files.open(temporaryFile(), NEXT_SEGMENT_OPTIONS);
        try {
            JournalSegment next = new JournalSegment(channel, segment(number), number);
            content.writeTo(next);
            Files.move(temporaryFile(), next.path(), StandardCopyOption.ATOMIC_MOVE);
            return next;
        } catch (IOException e) {
            closeAfterFailure(channel, e);
            deleteObsolete(temporaryFile());
            throw e;
        }
    }

    private static void closeAfterFailure(FileChannel channel, IOException failure) {
        try {
            channel.close();
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    private List<Path> segments() throws IOException {
        try (var found = Files.list(folder)) {
            return found.filter(file -> file.getFileName().toString().matches(SEGMENT_PATTERN))
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
