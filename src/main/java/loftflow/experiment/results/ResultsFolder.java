package loftflow.experiment.results;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loftflow.recordfile.RecordFile;

/**
 * The finished runs of experiments in an append-only file. A run counts once its record is complete on the disk; a torn
 * record at the end is truncated when the folder is opened, and that run is repeated. One process may open the folder
 * at a time.
 */
public final class ResultsFolder implements AutoCloseable {
    private static final String FILE_NAME = "results.log";
    private static final String LOCK_NAME = "lock";
    /** Distinguishes the names of figures from the other fields of a record. */
    private static final String FIGURE_PREFIX = "=";

    private static final JsonFactory JSON = new JsonFactory();

    /**
     * A finished run.
     *
     * @param side name of the side that was run
     * @param figures by name; figures that are not finite are stored as text
     */
    public record Result(String experiment, String side, long seed, Map<String, Double> figures) {
        public Result {
            figures = Map.copyOf(figures);
        }
    }

    private final FileChannel lock;
    private final FileChannel file;
    private final List<Result> results = new ArrayList<>();
    private final long truncatedBytes;
    private long endOffset;

    private ResultsFolder(FileChannel lock, FileChannel file) throws IOException {
        this.lock = lock;
        this.file = file;
        ByteBuffer content = RecordFile.readAll(file);
        int wholeBytes = 0;
        for (byte[] record = RecordFile.readNext(content); record != null; record = RecordFile.readNext(content)) {
            results.add(read(record));
            wholeBytes = content.position();
        }
        truncatedBytes = file.size() - wholeBytes;
        if (truncatedBytes > 0) {
            file.truncate(wholeBytes);
        }
        endOffset = wholeBytes;
    }

    /**
     * Opens a folder, which is created if it does not exist.
     *
     * @throws IOException also if another process has it open
     */
    public static ResultsFolder open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lock =
                FileChannel.open(folder.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock held = lock.tryLock();
            if (held == null) {
                throw new OverlappingFileLockException();
            }
            return new ResultsFolder(
                    lock,
                    FileChannel.open(
                            folder.resolve(FILE_NAME),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.READ,
                            StandardOpenOption.WRITE));
        } catch (OverlappingFileLockException e) {
            lock.close();
            throw new IOException(folder + ": another run writes here; let it end, or name another folder", e);
        } catch (IOException e) {
            lock.close();
            throw e;
        }
    }

    /** Bytes of a torn record that were truncated when the folder was opened; 0 for none. */
    public long truncatedBytes() {
        return truncatedBytes;
    }

    /** Every finished run, in the order of completion. */
    public List<Result> results() {
        return List.copyOf(results);
    }

    /** Stores a finished run; it is on the disk when this returns. */
    public void add(Result result) throws IOException {
        byte[] text = write(result).getBytes(StandardCharsets.UTF_8);
        byte[] record = RecordFile.seal(ByteBuffer.allocate(RecordFile.HEADER_BYTES + text.length)
                .position(RecordFile.HEADER_BYTES)
                .put(text)
                .array());
        RecordFile.append(file, record, endOffset);
        file.force(false);
        endOffset += record.length;
        results.add(result);
    }

    private static String write(Result result) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("experiment", result.experiment());
            json.writeStringField("side", result.side());
            json.writeNumberField("seed", result.seed());
            for (Map.Entry<String, Double> figure : new TreeMap<>(result.figures()).entrySet()) {
                json.writeStringField(FIGURE_PREFIX + figure.getKey(), Double.toString(figure.getValue()));
            }
            json.writeEndObject();
        }
        return text.toString();
    }

    private static Result read(byte[] record) throws IOException {
        String experiment = null;
        String side = null;
        long seed = 0;
        Map<String, Double> figures = new LinkedHashMap<>();
        try (JsonParser json = JSON.createParser(record)) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                switch (name) {
                    case "experiment" -> experiment = json.getText();
                    case "side" -> side = json.getText();
                    case "seed" -> seed = json.getLongValue();
                    default -> figures.put(name.substring(FIGURE_PREFIX.length()), Double.valueOf(json.getText()));
                }
            }
        }
        return new Result(experiment, side, seed, figures);
    }

    @Override
    public void close() throws IOException {
        file.close();
        lock.close();
    }
}
