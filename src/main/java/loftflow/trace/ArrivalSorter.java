package loftflow.trace;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Puts rows in the order of their times. Rows are held until one has come that is later by the window, so that any two
 * that
 * stand no further apart than that come out in order; rows of one time keep the order of the file.
 */
public final class ArrivalSorter {
    /** What becomes of a row that is further behind. */
    public enum Late {
        /** It is rejected. */
        DROP,
        /** It arrives with the row that was sent last. */
        CLAMP,
        /** The trace is. */
        FAIL
    }

    /** A row was late, and the rule is {@link Late#FAIL}. */
    public static final class LateException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        LateException(Row row, long behind) {
            super("line " + row.line() + " is " + behind + " us behind what was sent, and the window can't mend that");
        }
    }

    private final long window;
    private final int most;
    private final Late late;
    private final RowTally tally;
    private final Consumer<Row> out;
    private final PriorityQueue<Row> held =
            new PriorityQueue<>(Comparator.comparingLong(Row::time).thenComparingLong(Row::line));
    private long newest = Long.MIN_VALUE;
    private long sentUntil = Long.MIN_VALUE;

    /**
     * An order of rows.
     *
     * @param window microseconds
     * @param most rows that are held at once; beyond it the earliest goes, as if the window were shorter
     * @param out takes rows in the order of their times
     */
    public ArrivalSorter(long window, int most, Late late, RowTally tally, Consumer<Row> out) {
        this.window = window;
        this.most = most;
        this.late = late;
        this.tally = tally;
        this.out = out;
    }

    /** Takes a row in, and sends what is due. */
    public void add(Row row) {
        if (row.time() < sentUntil) {
            if (late == Late.FAIL) {
                throw new LateException(row, sentUntil - row.time());
            }
            if (late == Late.DROP) {
                tally.rejected(RowFault.LATE, row.line(), row.toString());
            } else {
                send(new Row(row.line(), sentUntil, row.owner(), row.flow(), row.sort(), row.weight()));
            }
            return;
        }
        held.add(row);
        newest = Math.max(newest, row.time());
        while (!held.isEmpty() && (held.size() > most || newest - held.peek().time() > window)) {
            send(held.poll());
        }
    }

    /** Sends all that is held: nothing more comes. */
    public void end() {
        while (!held.isEmpty()) {
            send(held.poll());
        }
    }

    private void send(Row row) {
        sentUntil = row.time();
        tally.sent();
        out.accept(row);
    }
}
