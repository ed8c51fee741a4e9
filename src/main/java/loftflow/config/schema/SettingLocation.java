package loftflow.config.schema;

import loftflow.config.file.Finding;

/**
 * Where a setting stands, or would stand, for findings about it.
 *
 * @param key its full name with the numbers of its tables, such as {@code class[2].deadline}
 */
public record SettingLocation(String file, int line, int column, String key) {
    public Finding error(String reason) {
        return new Finding(Finding.Severity.ERROR, file, line, column, key, reason);
    }

    public Finding warning(String reason) {
        return new Finding(Finding.Severity.WARNING, file, line, column, key, reason);
    }
}
