package loftflow.config.file;

import java.util.List;
import java.util.Map;

/**
 * A value in a file with the position of its key, whatever the file's format.
 *
 * @param value text, {@code Long}, {@code Double}, {@code Boolean}, a list of nodes, or a map of nodes in the order of
 *     the file; null where the file says so, or holds what no setting can be
 * @param line the line of its key, from 1
 * @param column the column of its key, from 1
 */
public record Node(Object value, int line, int column) {
    /** The members of a table, or null where this is none. */
    @SuppressWarnings("unchecked")
    public Map<String, Node> table() {
        return value instanceof Map<?, ?> ? (Map<String, Node>) value : null;
    }

    /** The entries of an array, or null where this is none. */
    @SuppressWarnings("unchecked")
    public List<Node> array() {
        return value instanceof List<?> ? (List<Node>) value : null;
    }

    /** What kind of value this is, in words for operators. */
    public String kind() {
        if (value instanceof String) {
            return "text";
        } else if (value instanceof Long) {
            return "a whole number";
        } else if (value instanceof Double) {
            return "a number";
        } else if (value instanceof Boolean) {
            return "true or false";
        } else if (value instanceof List<?>) {
            return "an array";
        } else {
            return value instanceof Map<?, ?> ? "a table" : "a value of another kind";
        }
    }
}
