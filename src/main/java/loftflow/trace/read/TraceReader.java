package loftflow.trace.read;

import de.siegmar.fastcsv.reader.CsvParseException;
import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.CsvRecord;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongPredicate;
import java.util.zip.GZIPInputStream;
import java.util.zip.ZipException;
import loftflow.trace.ArrivalSorter;
import loftflow.trace.MinuteCounts;
import loftflow.trace.Row;
import loftflow.trace.RowFault;
import loftflow.trace.RowFormat;
import loftflow.trace.RowTally;
import loftflow.trace.TraceFormat;

/**
 * Reads the files of a trace, one after the other, into {@link ArrivalSorter}. A file that begins with gzip's two bytes
 * is
 * unpacked, whatever its name. Where a file is a day of counts, each call of it counts as a row. A record that is
 * longer than {@value #LONGEST} characters, or a file that breaks off, ends that
 * file, which counts as a row that was read and rejected; the next file goes on.
 */
public final class TraceReader {
    static final int LONGEST = 1 << 20;
    private static final int BUFFER = 1 << 16;
    private static final int GZIP = 0x1f8b;
    private static final long DAY = 86_400_000_000L;

    private final RowFormat form;
    private final LongPredicate wanted;
    private final ArrivalSorter arrivals;
    private final RowTally tally;
    private long linesBefore;
    private int filesBefore;
    /** A file's counts a minute; its calls are sent when it has been read, in the order of time. */
    private MinuteCounts minutes = new MinuteCounts();

    /**
     * A reader of one form.
     *
     * @param wanted tells by a row's time whether it is replayed; the others are cut
     */
    public TraceReader(RowFormat form, LongPredicate wanted, ArrivalSorter arrivals, RowTally tally) {
        this.form = form;
        this.wanted = wanted;
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
                CsvReader<CsvRecord> csv = CsvReader.builder()
                        .skipEmptyLines(true)
                        .allowExtraFields(true)
                        .allowMissingFields(true)
                        .maxBufferSize(LONGEST)
                        .ofCsvRecord(new InputStreamReader(bytes, StandardCharsets.UTF_8))) {
            boolean first = true;
            for (Iterator<CsvRecord> records = csv.iterator(); records.hasNext(); ) {
                CsvRecord record = records.next();
                line = record.getStartingLineNumber();
                take(record.getFields(), linesBefore + line, first);
                first = false;
            }
        } catch (CsvParseException e) {
            brokenOff(line + 1, e.getMessage());
        } catch (UncheckedIOException | EOFException | ZipException e) {
            brokenOff(line + 1, file.getFileName() + ": " + e.getMessage());
        }
        linesBefore += line;
        minutes.send(DAY * filesBefore, row -> {
            tally.read();
            arrive(row);
        });
        minutes = new MinuteCounts();
        filesBefore++;
    }

    private void brokenOff(long line, String why) {
        tally.read();
        tally.rejected(RowFault.TRUNCATED, linesBefore + line, why);
    }

    private void take(List<String> fields, long line, boolean first) {
        try {
            if (fields.stream().anyMatch(f -> f.indexOf('\0') >= 0)) {
                throw new RowFault.BadRowException(RowFault.NUL);
            }
            Row row = form.row(fields, line, first);
            if (row != null && form.isByMinute()) {
                // Each call of it counts as a row, when it is sent.
                minutes.add(row, TraceFormat.counts(fields));
            } else {
                tally.read();
                arrive(row);
            }
        } catch (RowFault.BadRowException e) {
            tally.read();
            tally.rejected(e.fault(), line, String.join(",", fields));
        }
    }

    private void arrive(Row row) {
        if (row == null || !wanted.test(row.time())) {
            tally.cut();
        } else {
            arrivals.add(row);
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
