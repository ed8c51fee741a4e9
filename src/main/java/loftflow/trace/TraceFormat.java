package loftflow.trace;

import java.math.BigDecimal;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import loftflow.trace.RowFault.BadRowException;

/** Published forms of traces: what their columns mean, and which rows ask for something. */
public enum TraceFormat implements RowFormat {
    /** ClusterData 2011, {@code task_events} (Google cluster-usage traces: format + schema, 2.1): microseconds. */
    GOOGLE_2011_TASK_EVENTS(13, false) {
        private static final long AFTER = Long.MAX_VALUE;
        private static final int TYPES = 9;

        @Override
        Row read(List<String> f, long line) throws BadRowException {
            long time = time(f.get(0), 1);
            if (time == 0 || time == AFTER) {
                throw new BadRowException(RowFault.SPECIAL_TIME);
            }
            long type = whole(f.get(5));
            if (type >= TYPES) {
                throw new BadRowException(RowFault.BAD_FIELD);
            }
            // Type 0 is SUBMIT; all others tell what became of a task that was submitted.
            return type != 0
                    ? null
                    : new Row(line, time, needed(f.get(6)), needed(f.get(2)), f.get(7), number(f.get(9)));
        }
    },
    /** Alibaba cluster-trace-v2018, {@code batch_task}: seconds. */
    ALIBABA_2018_BATCH_TASK(9, false) {
        @Override
        Row read(List<String> f, long line) throws BadRowException {
            long time = time(f.get(5), SECOND);
            if (time == 0) {
                throw new BadRowException(RowFault.SPECIAL_TIME);
            }
            return new Row(line, time, needed(f.get(2)), needed(f.get(2)), f.get(3), number(f.get(1)));
        }
    },
    /** Azure public dataset V1, {@code vmtable}: seconds from the trace's beginning. */
    AZURE_V1_VMTABLE(11, false) {
        @Override
        Row read(List<String> f, long line) throws BadRowException {
            return new Row(
                    line, time(f.get(3), SECOND), needed(f.get(1)), needed(f.get(2)), f.get(8), number(f.get(9)));
        }
    },
    /** Azure Functions invocation trace 2021: seconds with fractions; what is told is the end and how long it took. */
    AZURE_FUNCTIONS_2021(4, true) {
        @Override
        Row read(List<String> f, long line) throws BadRowException {
            long end = time(f.get(2), SECOND);
            double took = number(f.get(3));
            // One that was running when the trace began counts from its beginning.
            return new Row(
                    line, Math.max(0, end - (long) (took * SECOND)), needed(f.get(0)), needed(f.get(1)), "", took);
        }
    },
    /**
     * Azure Functions 2019, invocations a minute: a file is a day, a line a function with its {@link MinuteCounts#DAY}
     * counts.
     */
    AZURE_FUNCTIONS_2019(4 + MinuteCounts.DAY, true) {
        @Override
        Row read(List<String> f, long line) throws BadRowException {
            int[] counts = counts(f);
            long sum = 0;
            for (int count : counts) {
                sum += count;
            }
            Row function = new Row(line, 0, needed(f.get(0)), needed(f.get(1)) + "/" + needed(f.get(2)), f.get(3), sum);
            return sum == 0 ? null : function;
        }
    };

    /** The first column of {@link #AZURE_FUNCTIONS_2019} that is a count. */
    private static final int FIRST_COUNT = 4;

    private static final long SECOND = 1_000_000;

    private final int columns;
    private final boolean header;

    TraceFormat(int columns, boolean header) {
        this.columns = columns;
        this.header = header;
    }

    /** The word by which it is named, such as {@code google-2011-task-events}. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The form of a word; empty where there is none. */
    public static Optional<TraceFormat> of(String word) {
        return List.of(values()).stream().filter(f -> f.word().equals(word)).findFirst();
    }

    @Override
    public boolean isByMinute() {
        return this == AZURE_FUNCTIONS_2019;
    }

    /** The counts of a line of {@link #AZURE_FUNCTIONS_2019}. */
    public static int[] counts(List<String> fields) throws BadRowException {
        int[] counts = new int[MinuteCounts.DAY];
        for (int minute = 0; minute < counts.length; minute++) {
            counts[minute] = (int) whole(fields.get(FIRST_COUNT + minute));
        }
        return counts;
    }

    @Override
    public Row row(List<String> fields, long line, boolean first) throws BadRowException {
        if (fields.size() != columns) {
            throw new BadRowException(RowFault.COLUMNS);
        }
        if (first && header) {
            return null;
        }
        try {
            return read(fields, line);
        } catch (BadRowException e) {
            boolean named = first && fields.stream().noneMatch(f -> f.matches(".*\\d{4,}.*|-?[0-9.]+"));
            throw named ? new BadRowException(RowFault.HEADER) : e;
        }
    }

    abstract Row read(List<String> fields, long line) throws BadRowException;

    /** Reads a time; {@code unit} is how many microseconds it counts in. */
    static long time(String text, long unit) throws BadRowException {
        String trimmed = text.strip();
        if (trimmed.isEmpty()) {
            throw new BadRowException(RowFault.NO_TIME);
        }
        // Guards against text whose exponent would be worked out in full.
        if (!trimmed.matches("[+-]?\\d{1,30}(\\.\\d{1,30})?")) {
            throw new BadRowException(
                    trimmed.matches("[+-]?\\d+(\\.\\d+)?") ? RowFault.OVERFLOWING_TIME : RowFault.BAD_TIME);
        }
        BigDecimal micros = new BigDecimal(trimmed).multiply(BigDecimal.valueOf(unit));
        if (micros.signum() < 0) {
            throw new BadRowException(RowFault.NEGATIVE_TIME);
        }
        if (micros.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0) {
            throw new BadRowException(RowFault.OVERFLOWING_TIME);
        }
        return micros.longValue();
    }

    static String needed(String text) throws BadRowException {
        if (text.isBlank()) {
            throw new BadRowException(RowFault.BAD_FIELD);
        }
        return text;
    }

    private static long whole(String text) throws BadRowException {
        if (!text.matches("\\d{1,9}")) {
            throw new BadRowException(RowFault.BAD_FIELD);
        }
        return Long.parseLong(text);
    }

    /** A number that may be left out; 0 then. */
    static double number(String text) throws BadRowException {
        if (text.isBlank()) {
            return 0;
        }
        if (!text.strip().matches("\\d{1,15}(\\.\\d{1,30})?([eE]-?\\d{1,2})?")) {
            throw new BadRowException(RowFault.BAD_FIELD);
        }
        return Double.parseDouble(text.strip());
    }
}
