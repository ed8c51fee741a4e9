package loftflow.completion;

import java.io.IOException;
import java.nio.ByteBuffer;
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
 * completion that can't be written remains unacknowledged: it is tried again, in this process or the next one. To be
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
    private final Consumer<Runnable> retryScheduler;
    private final ArrayDeque<Message> unwritten = new ArrayDeque<>();
    private boolean isRetryScheduled;

    /**
     * Creates a log in a folder.
     *
     * @param maxBytes the total size that the file and the rotated file may reach, in bytes
     * @param onAcknowledged receives each message once its completion has been written
     * @param retryScheduler runs a task once after a short delay, on the event loop
     */
    public CompletionLog(
            Path folder, long maxBytes, Consumer<Message> onAcknowledged, Consumer<Runnable> retryScheduler) {
        file = folder.resolve(FILE_NAME);
        rotatedFile = folder.resolve(ROTATED_FILE_NAME);
        maxFileBytes = maxBytes / 2;
        this.onAcknowledged = onAcknowledged;
        this.retryScheduler = retryScheduler;
    }

    @Override
    public void notifyCompletion(Message message) {
        unwritten.add(message);
        writeAll();
    }

    private void writeAll() {
        try {
            while (!unwritten.isEmpty()) {
                append(CompletionNoticeCodec.logLine(unwritten.peek()).getBytes(StandardCharsets.UTF_8));
                onAcknowledged.accept(unwritten.poll());
            }
        } catch (IOException e) {
            Log.line("completion: append failed unwritten=" + unwritten.size() + " error=" + e.getMessage());
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        if (!isRetryScheduled) {
            isRetryScheduled = true;
            retryScheduler.accept(this::retry);
        }
    }

    private void retry() {
        isRetryScheduled = false;
        writeAll();
    }

    private void append(byte[] line) throws IOException {
        if (Files.exists(file) && Files.size(file) + line.length > maxFileBytes) {
            Files.move(file, rotatedFile, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            RecordFile.writeFully(channel, endsWithinLine(channel) ? onNewLine(line) : line, channel.size());
        }
    }

    /** Returns whether a failed write or a kill has left an incomplete line at the end of the file. */
    private static boolean endsWithinLine(FileChannel channel) throws IOException {
        ByteBuffer last = ByteBuffer.allocate(1);
        return channel.size() > 0 && channel.read(last, channel.size() - 1) == 1 && last.get(0) != '\n';
    }

    private static byte[] onNewLine(byte[] line) {
        return ByteBuffer.allocate(1 + line.length).put((byte) '\n').put(line).array();
    }
}
