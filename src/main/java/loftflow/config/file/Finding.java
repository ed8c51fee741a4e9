package loftflow.config.file;

import java.util.Comparator;

/**
 * Something that is wrong with a file, or may be.
 *
 * @param severity whether a relay would reject the file
 * @param line from 1; 0 where the file as a whole is meant
 * @param column from 1; 0 where the file as a whole is meant
 * @param key the full name of the setting, such as {@code class[2].deadline}; empty where none is meant
 * @param reason for operators: what contradicts what, with both figures, and what would correct it
 */
public record Finding(Severity severity, String file, int line, int column, String key, String reason) {
    /** Whether a relay would reject the file. */
    public enum Severity {
        /** A relay would not start by the file. */
        ERROR,
        /** A relay would start, and something works less well than the file may intend. */
        WARNING
    }

    /** In the order of the file. */
    public static final Comparator<Finding> BY_POSITION = Comparator.comparing(Finding::file)
            .thenComparingInt(Finding::line)
            .thenComparingInt(Finding::column)
            .thenComparing(Finding::key)
            .thenComparing(Finding::reason);

    public boolean isError() {
        return severity == Severity.ERROR;
    }

    /** {@code FILE:LINE:COLUMN: KEY: reason}; a warning says so first. */
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + (key.isEmpty() ? "" : key + ": ")
                + (isError() ? "" : "warning: ") + reason;
    }
}
