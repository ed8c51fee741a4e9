package loftflow.trace;

import java.util.List;
import loftflow.trace.RowFault.BadRowException;

/** What the records of a file mean: a published {@link TraceFormat}, or one that a mapping file describes. */
public interface RowFormat {
    /**
     * What a record of a file means; its reader has seen that no field holds a NUL byte.
     *
     * @param line where it begins
     * @param first it is the first of its file
     * @return null where it is well formed and asks for nothing: the end of a task, say, or the header
     * @throws BadRowException where it is rejected
     */
    Row row(List<String> fields, long line, boolean first) throws BadRowException;

    /** True where a line is a day's counts, so that what it means is told by {@link TraceFormat#counts}. */
    default boolean isByMinute() {
        return false;
    }
}
