package loftflow.config.file;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads TOML 1.0 into {@link Node}s. The only class that knows the parser. */
public final class TomlFile {
    private TomlFile() {}

    /**
     * Reads a text.
     *
     * @param findings receives what breaks the grammar, such as a key that stands twice
     * @return the table of the whole file; what broke the grammar may lack in it
     */
    public static Node read(String file, String text, List<Finding> findings) {
        TomlParseResult result;
        try {
            result = Toml.parse(text);
        } catch (StackOverflowError e) {
            // The parser recurses for each nested bracket.
            findings.add(new Finding(Finding.Severity.ERROR, file, 1, 1, "", "nests too deeply to be read"));
            return new Node(Map.of(), 1, 1);
        }
        result.errors()
                .forEach(error -> findings.add(new Finding(
                        Finding.Severity.ERROR,
                        file,
                        error.position().line(),
                        error.position().column(),
                        "",
                        plain(error.getMessage()))));
        return table(result, 1, 1);
    }

    /** A message without control characters, so that a finding stays on one line. */
    private static String plain(String message) {
        return message.replaceAll("\\p{Cntrl}+", " ");
    }

    private static Node table(TomlTable table, int line, int column) {
        Map<String, Node> members = new LinkedHashMap<>();
        for (String key : table.keySet()) {
            List<String> path = List.of(key);
            TomlPosition at = table.inputPositionOf(path);
            members.put(key, node(table.get(path), at == null ? line : at.line(), at == null ? column : at.column()));
        }
        return new Node(members, line, column);
    }

    private static Node node(Object value, int line, int column) {
        if (value instanceof TomlTable table) {
            return table(table, line, column);
        }
        if (value instanceof TomlArray array) {
            List<Node> entries = new ArrayList<>();
            for (int i = 0; i < array.size(); i++) {
                TomlPosition at = array.inputPositionOf(i);
                entries.add(node(array.get(i), at.line(), at.column()));
            }
            return new Node(entries, line, column);
        }
        boolean known =
                value instanceof String || value instanceof Long || value instanceof Double || value instanceof Boolean;
        return new Node(known ? value : null, line, column);
    }
}
