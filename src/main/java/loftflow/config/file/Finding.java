package loftflow.config.file;

import java.util.Comparator;

/**
 * Something that is wrong with a file, or may be.
 *
 * @param severity whether a relay would refuse the file
 * @param line from 1; 0 where the file as a whole is meant
 * @param column from 1; 0 where the file as a whole is meant
 * @param key the full name of the setting, such as {@code class[2].deadline}; empty where none is meant
 * @param reason for staff: what contradicts what, with both figures, and what would mend it
 */
public record Finding(Severity severity, String file, int line, int column, String key, String reason) {
    /** Whether a relay would refuse the file. */
    public enum Severity {
        ERROR,
        WARNING
    }

    /** In the order of the file. */
    public static final Comparator<Finding> IN_ORDER = Comparator.comparing(Finding::file)
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
