package loftflow.trace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What became of each row of a trace: the figures add up, rows read = sent + cut + rejected. */
public final class RowTally {
    private static final int FIRST_LINES = 5;
    private static final int SAMPLE = 80;

    /** Rows of one fault: how many, the lines of the first ones, and the first one's text. */
    public record Rejected(long count, List<Long> lines, String sample) {}

    private static final class Count {
        long count;
        final List<Long> lines = new ArrayList<>();
        String sample;
    }

    private final Map<RowFault, Count> faults = new EnumMap<>(RowFault.class);
    private long read;
    private long sent;
    private long cut;

    /** A row was read. */
    public void read() {
        read++;
    }

    /** It goes on as an arrival. */
    public void sent() {
        sent++;
    }

    /** It is well formed and is not wanted: it asks for nothing, or is outside of what is replayed. */
    public void cut() {
        cut++;
    }

    /** It is rejected; of its text a part is kept, with what can't be printed as dots. */
    public void rejected(RowFault fault, long line, String text) {
        Count count = faults.computeIfAbsent(fault, f -> new Count());
        count.count++;
        if (count.lines.size() < FIRST_LINES) {
            count.lines.add(line);
        }
        if (count.sample == null) {
            count.sample = text.substring(0, Math.min(SAMPLE, text.length())).replaceAll("\\p{Cntrl}", ".");
        }
    }

    public long rowsRead() {
        return read;
    }

    public long rowsSent() {
        return sent;
    }

    public long rowsCut() {
        return cut;
    }

    /** How many rows were rejected, for whatever fault. */
    public long rowsRejected() {
        return faults.values().stream().mapToLong(c -> c.count).sum();
    }

    /** What was rejected for each fault that there was. */
    public Map<RowFault, Rejected> rejected() {
        Map<RowFault, Rejected> all = new EnumMap<>(RowFault.class);
        faults.forEach((f, c) -> all.put(f, new Rejected(c.count, List.copyOf(c.lines), c.sample)));
        return all;
    }
}
