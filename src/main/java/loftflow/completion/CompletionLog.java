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
 * Reports completions other than delivery in a file of JSON Lines, for relays without a platform. Once the file has
 * half of its share of the disk it is renamed to {@code ends.jsonl.1}, in the place of an earlier one. A completion
 * that can't be written stays unacknowledged: it is written before the next one, or after a restart. To be called on
 * the event loop.
 */
public final class CompletionLog implements CompletionNotifier {
    /** The part of the disk that both files together may take is one in so many. */
    public static final int DISK_DIVISOR = 20;

    private static final String NAME = "ends.jsonl";
    private static final String ROTATED_NAME = NAME + ".1";

    private final Path file;
    private final Path rotatedFile;
    private final long maxFileBytes;
    private final Consumer<Message> onAcknowledged;
    private final ArrayDeque<Message> unwritten = new ArrayDeque<>();

    /**
     * A log in a folder.
     *
     * @param maxBytes what the file and the rotated one may take together
     * @param onAcknowledged receives each message once its completion is written
     */
    public CompletionLog(Path folder, long maxBytes, Consumer<Message> onAcknowledged) {
        file = folder.resolve(NAME);
        rotatedFile = folder.resolve(ROTATED_NAME);
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
