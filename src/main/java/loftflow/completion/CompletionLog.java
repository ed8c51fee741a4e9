package loftflow.completion;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
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
 * Tells ends other than delivery in a file of JSON Lines in the folder that lasts, where no platform listens. When the
 * file has half its share of the disk it becomes {@code ends.jsonl.1}, in the place of an earlier one. An end that
 * can't
 * be written is still owed: it is tried again with the next one, and at the next start.
 */
public final class CompletionLog implements CompletionNotifier {
    /** The part of the disk that both files together may take is one in so many. */
    public static final int DISK_PART = 20;

    private static final String NAME = "ends.jsonl";

    private final Path file;
    private final Path older;
    private final long most;
    private final Consumer<Message> heard;
    private final JsonFactory json = new JsonFactory();
    private final ArrayDeque<Message> waiting = new ArrayDeque<>();

    /** A file in a folder that takes, with the one before it, so many bytes at the most. */
    public CompletionLog(Path folder, long bytes, Consumer<Message> heard) {
        file = folder.resolve(NAME);
        older = folder.resolve(NAME + ".1");
        most = bytes / 2;
        this.heard = heard;
    }

    @Override
    public void notifyCompletion(Message message) {
        waiting.add(message);
        try {
            while (!waiting.isEmpty()) {
                append(line(waiting.peek()));
                heard.accept(waiting.poll());
            }
        } catch (IOException e) {
            Log.line("ends: can't be written, " + waiting.size() + " wait: " + e.getMessage());
        }
    }

    private void append(byte[] line) throws IOException {
        if (Files.exists(file) && Files.size(file) + line.length > most) {
            Files.move(file, older, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            RecordFile.append(channel, line, channel.size());
        }
    }

    private byte[] line(Message message) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = json.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("ref", message.content().messageId());
            out.writeStringField("class", message.content().requestClass());
            out.writeNumberField("dest", message.content().destination());
            out.writeStringField("result", message.completion().word());
            if (message.completion().isRejected() && message.completion().retryAfterMicros() > 0) {
                out.writeNumberField("wait_ms", message.completion().retryAfterMicros() / 1000);
            }
            out.writeNumberField("attempts", message.attempts().size());
            out.writeEndObject();
        }
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
