package loftflow.completion;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.Message;
import loftflow.log.Log;
import loftflow.recordfile.RecordFile;

/**
 * Writes completions other than delivery to a file in JSON Lines format, for relays without a platform. Once the file
 * uses half of the log's share of the disk, it is rotated to {@code ends.jsonl.1}, replacing the previous one. A
 * completion that can't be written remains unacknowledged: it is written before the next one, or after a restart. To be
 * called on the event loop.
 */
public final class CompletionLog implements CompletionNotifier {
    /** The fraction of the disk that both files together may use is 1 / {@value}. */
    public static final int DISK_DIVISOR = 20;

    private static final String FILE_NAME = "ends.jsonl";
    private static final String ROTATED_FILE_NAME = FILE_NAME + ".1";

    private final Path file;
    private final Path rotatedFile;
    private final long maxFileBytes;
    private final Consumer<Message> onAcknowledged;
    private final ArrayDeque<Message> unwritten = new ArrayDeque<>();

    /**
     * Creates a log in a folder.
     *
     * @param maxBytes the total size that the file and the rotated file may reach, in bytes
     * @param onAcknowledged receives each message once its completion has been written
     */
    public CompletionLog(Path folder, long maxBytes, Consumer<Message> onAcknowledged) {
        file = folder.resolve(FILE_NAME);
        rotatedFile = folder.resolve(ROTATED_FILE_NAME);
        maxFileBytes = maxBytes / 2;
        this.onAcknowledged = onAcknowledged;
    }

    @Override
    public void notifyCompletion(Message message) {
        unwritten.add(message);
        try {
            while (!unwritten.isEmpty()) {
                append(CompletionNoticeCodec.logLine(unwritten.peek()).getBytes(StandardCharsets.UTF_8));
                onAcknowledged.accept(unwritten.poll());
            }
        } catch (IOException e) {
            Log.line("completion: append failed unwritten=" + unwritten.size() + " error=" + e.getMessage());
        }
    }

    private void append(byte[] line) throws IOException {
        if (Files.exists(file) && Files.size(file) + line.length > maxFileBytes) {
            Files.move(file, rotatedFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            RecordFile.append(channel, line, channel.size());
        }
    }
}
