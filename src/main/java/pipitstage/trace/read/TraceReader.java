package pipitstage.trace.read;

import de.siegmar.fastcsv.reader.CsvParseException;
import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.CsvRecord;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.zip.GZIPInputStream;
import pipitstage.trace.Arrivals;
import pipitstage.trace.Fault;
import pipitstage.trace.Form;
import pipitstage.trace.Row;
import pipitstage.trace.Tally;

/**
 * Reads the files of a trace, one after the other, into {@link Arrivals}. A file that begins with gzip's two bytes is
 * unpacked, whatever its name. A record that is longer than {@value #LONGEST} characters, or a file that breaks off, ends that
 * file, which counts as a row that was read and rejected; the next file goes on.
 */
public final class TraceReader {
    static final int LONGEST = 1 << 20;
    private static final int BUFFER = 1 << 16;
    private static final int GZIP = 0x1f8b;

    private final Form form;
    private final Arrivals arrivals;
    private final Tally tally;
    private long linesBefore;

    /** A reader of one form. */
    public TraceReader(Form form, Arrivals arrivals, Tally tally) {
        this.form = form;
        this.arrivals = arrivals;
        this.tally = tally;
    }

    /**
     * Reads all of some files.
     *
     * @throws IOException where one can't be opened
     */
    public void read(List<Path> files) throws IOException {
        for (Path file : files) {
            read(file);
        }
        arrivals.end();
    }

    private void read(Path file) throws IOException {
        long line = 0;
        try (InputStream bytes = open(file);
                CsvReader<CsvRecord> csv = CsvReader.builder().skipEmptyLines(true).allowExtraFields(true)
                        .allowMissingFields(true).maxBufferSize(LONGEST)
                        .ofCsvRecord(new InputStreamReader(bytes, StandardCharsets.UTF_8))) {
            boolean first = true;
            for (Iterator<CsvRecord> records = csv.iterator(); records.hasNext();) {
                CsvRecord record = records.next();
                line = record.getStartingLineNumber();
                take(record.getFields(), linesBefore + line, first);
                first = false;
            }
        } catch (CsvParseException e) {
            brokenOff(line + 1, e.getMessage());
        } catch (java.io.UncheckedIOException | java.io.EOFException | java.util.zip.ZipException e) {
            brokenOff(line + 1, file.getFileName() + ": " + e.getMessage());
        }
        linesBefore += line;
    }

    private void brokenOff(long line, String why) {
        tally.read();
        tally.rejected(Fault.TRUNCATED, linesBefore + line, why);
    }

    private void take(List<String> fields, long line, boolean first) {
        tally.read();
        try {
            Row row = form.row(fields, line, first);
            if (row == null) {
                tally.cut();
            } else {
                arrivals.add(row);
            }
        } catch (Fault.BadRowException e) {
            tally.rejected(e.fault(), line, String.join(",", fields));
        }
    }

    private static InputStream open(Path file) throws IOException {
        InputStream bytes = new BufferedInputStream(Files.newInputStream(file), BUFFER);
        try {
            bytes.mark(2);
            int magic = bytes.read() << Byte.SIZE | bytes.read();
            bytes.reset();
            return magic == GZIP ? new GZIPInputStream(bytes, BUFFER) : bytes;
        } catch (IOException e) {
            bytes.close();
            throw e;
        }
    }
}
