package loftflow.trace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A day of counts a minute, a line a function, turned into rows in the order of time. A count takes a byte; the few
 * that are
 * larger stand in a map beside, so that 46,000 functions of a day take some 70 MB. Within a minute a function's calls
 * are
 * spread evenly, from a point of its own: no more is told of them.
 */
public final class MinuteCounts {
    /** Minutes of a day. */
    public static final int DAY = 1_440;

    private static final int SATURATED = 255;
    private static final int SECONDS = 60;
    private static final long SECOND = 1_000_000;

    private final List<Row> functions = new ArrayList<>();
    private final List<byte[]> counts = new ArrayList<>();
    private final Map<Long, Integer> large = new HashMap<>();

    /**
     * Adds a line.
     *
     * @param function whose it is; its time and weight are of no account
     * @param perMinute {@value #DAY} counts, none negative
     */
    public void add(Row function, int[] perMinute) {
        byte[] line = new byte[DAY];
        for (int minute = 0; minute < DAY; minute++) {
            int count = perMinute[minute];
            line[minute] = (byte) Math.min(SATURATED, count);
            if (count >= SATURATED) {
                large.put((long) functions.size() * DAY + minute, count);
            }
        }
        functions.add(function);
        counts.add(line);
    }

    private int count(int function, int minute) {
        int count = counts.get(function)[minute] & SATURATED;
        return count < SATURATED ? count : large.get((long) function * DAY + minute);
    }

    /**
     * Sends a row for each call, those of each second together.
     *
     * @param start of the day, in microseconds of the trace's clock
     */
    public void send(long start, Consumer<Row> out) {
        for (int minute = 0; minute < DAY; minute++) {
            int[] active = active(minute);
            for (int second = 0; second < SECONDS; second++) {
                for (int function : active) {
                    calls(function, minute, second, start, out);
                }
            }
        }
    }

    private int[] active(int minute) {
        List<Integer> active = new ArrayList<>();
        for (int function = 0; function < counts.size(); function++) {
            if (counts.get(function)[minute] != 0) {
                active.add(function);
            }
        }
        return active.stream().mapToInt(Integer::intValue).toArray();
    }

    private void calls(int function, int minute, int second, long start, Consumer<Row> out) {
        Row of = functions.get(function);
        int count = count(function, minute);
        double phase = (of.flow().hashCode() * 0x9e3779b9 >>> 1) / (double) Integer.MAX_VALUE * 0.999;
        int next = (int) Math.max(0, Math.ceil((double) second * count / SECONDS - phase));
        for (int call = next; call < count && (call + phase) * SECONDS / count < second + 1; call++) {
            long at = (long) ((call + phase) * SECONDS / count * SECOND);
            out.accept(new Row(of.line(), start + minute * SECONDS * SECOND + at, of.owner(), of.flow(), of.sort(), 0));
        }
    }
}
