package loftflow.trace.read;

import de.siegmar.fastcsv.writer.CsvWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import loftflow.trace.TraceMessage;

/** A file of the messages that a trace is mapped to: CSV with a header; what a message has not is empty. */
public final class TraceMessageFile implements AutoCloseable {
    private final CsvWriter csv;

    /** Writes a file anew. */
    public TraceMessageFile(Path file) throws IOException {
        csv = CsvWriter.builder().build(file, StandardCharsets.UTF_8);
        csv.writeRecord("at_us", "class", "tenant", "destination", "key", "size", "budget_us", "line");
    }

    /**
     * Writes one.
     *
     * @throws java.io.UncheckedIOException where the disk fails
     */
    public void write(TraceMessage call) {
        csv.writeRecord(
                Long.toString(call.at()),
                call.type(),
                call.tenant(),
                Integer.toString(call.destination()),
                call.key(),
                Long.toString(call.size()),
                Long.toString(call.budget()),
                Long.toString(call.line()));
    }

    @Override
    public void close() throws IOException {
        csv.close();
    }
}
