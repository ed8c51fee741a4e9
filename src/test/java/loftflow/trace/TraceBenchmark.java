package loftflow.trace;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import loftflow.trace.read.TraceReader;

/** Reader speed, as a command: writes a file of so many rows in the form of ClusterData 2011 and reads it. */
public final class TraceBenchmark {
    private static final long WINDOW = 10_000_000;

    private TraceBenchmark() {}

    /** Prints rows a second and the largest heap that was seen in use; the first argument is the number of rows. */
    public static void main(String[] args) throws IOException {
        int rows = Integer.parseInt(args[0]);
        Path file = Files.createTempFile("trace", ".csv");
        try {
            write(file, rows);
            RowTally tally = new RowTally();
            long[] used = new long[1];
            Runtime machine = Runtime.getRuntime();
            long start = System.nanoTime();
            new TraceReader(
                            TraceFormat.GOOGLE_2011_TASK_EVENTS,
                            time -> true,
                            new ArrivalSorter(WINDOW, 1_000_000, ArrivalSorter.Late.DROP, tally, row -> {
                                if (row.line() % 100_000 == 0) {
                                    used[0] = Math.max(used[0], machine.totalMemory() - machine.freeMemory());
                                }
                            }),
                            tally)
                    .read(List.of(file));
            double seconds = (System.nanoTime() - start) / 1e9;
            System.out.println(String.format(
                    Locale.ROOT,
                    "%d rows, %d bytes: %.0f rows a second, %d MiB of heap in use at the"
                            + " most; %d sent, %d cut, %d rejected",
                    tally.rowsRead(),
                    Files.size(file),
                    tally.rowsRead() / seconds,
                    used[0] >> 20,
                    tally.rowsSent(),
                    tally.rowsCut(),
                    tally.rowsRejected()));
        } finally {
            Files.delete(file);
        }
    }

    private static void write(Path file, int rows) throws IOException {
        SplittableRandom random = new SplittableRandom(15);
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            long time = 600_000_000;
            for (int i = 0; i < rows; i++) {
                time += random.nextLong(2_000);
                out.write(time - random.nextLong(5_000_000) / 2 + ",," + (3_418_309L + i / 7) + "," + i % 7
                        + ",4155527081,"
                        + (random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(8)) + ",user" + random.nextInt(900) + ","
                        + random.nextInt(4) + ",9,0.0" + random.nextInt(999) + ",0.07446,0.0004244,0\n");
            }
        }
    }
}
