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
 * Finished runs, in a file that is only ever added to. A run counts once its record is whole on the disk; a record that
 * a kill
 * has torn is cut off at the next start, and that run is made again. One process at a time: a second one is refused.
 */
public final class ResultsFolder implements AutoCloseable {
    private static final String FILE = "results.log";
    private static final String LOCK = "lock";
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * A finished run.
     *
     * @param side the name of what was run
     * @param figures by name; any that is not finite is kept as text that says so
     */
    public record Result(String experiment, String side, long seed, Map<String, Double> figures) {
        public Result {
            figures = Map.copyOf(figures);
        }
    }

    private final FileChannel lock;
    private final FileChannel file;
    private final List<Result> results = new ArrayList<>();
    private final long cut;
    private long end;

    private ResultsFolder(FileChannel lock, FileChannel file) throws IOException {
        this.lock = lock;
        this.file = file;
        ByteBuffer all = RecordFile.all(file);
        int whole = 0;
        for (byte[] record = RecordFile.next(all); record != null; record = RecordFile.next(all)) {
            results.add(read(record));
            whole = all.position();
        }
        cut = file.size() - whole;
        if (cut > 0) {
            file.truncate(whole);
        }
        end = whole;
    }

    /**
     * Opens a folder, which is made where there is none.
     *
     * @throws IOException also where another process has it open
     */
    public static ResultsFolder open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lock = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            FileLock held = lock.tryLock();
            if (held == null) {
                throw new OverlappingFileLockException();
            }
            return new ResultsFolder(
                    lock,
                    FileChannel.open(
                            folder.resolve(FILE),
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

    /** Bytes of a torn record that were cut off when the folder was opened. */
    public long cut() {
        return cut;
    }

    /** Every finished run, in the order in which they finished. */
    public List<Result> results() {
        return List.copyOf(results);
    }

    /** Keeps a finished run; it is on the disk when this returns. */
    public void add(Result result) throws IOException {
        byte[] text = write(result).getBytes(StandardCharsets.UTF_8);
        byte[] record = RecordFile.seal(ByteBuffer.allocate(RecordFile.HEAD + text.length)
                .position(RecordFile.HEAD)
                .put(text)
                .array());
        RecordFile.append(file, record, end);
        file.force(false);
        end += record.length;
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
                json.writeStringField("=" + figure.getKey(), Double.toString(figure.getValue()));
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
                    default -> figures.put(name.substring(1), Double.valueOf(json.getText()));
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
