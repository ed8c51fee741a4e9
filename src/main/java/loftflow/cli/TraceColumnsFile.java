package loftflow.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loftflow.config.file.Finding;
import loftflow.config.file.Node;
import loftflow.config.file.SourceFile;
import loftflow.config.file.TomlFile;
import loftflow.trace.ColumnMapping;
import loftflow.trace.read.ZonedClock;

/** A mapping file: TOML that names the columns of a CSV. */
final class TraceColumnsFile {
    private static final Set<String> KEYS =
            Set.of("header", "time", "unit", "pattern", "zone", "begin", "owner", "flow", "sort", "weight");

    private final Path file;
    private final Map<String, Node> members;

    private TraceColumnsFile(Path file, Map<String, Node> members) {
        this.file = file;
        this.members = members;
    }

    /**
     * Reads one.
     *
     * @throws IllegalArgumentException with the place of what is wrong
     */
    static ColumnMapping read(Path file) throws SourceFile.UnreadableException {
        List<Finding> findings = new ArrayList<>();
        Node top = TomlFile.read(file.toString(), SourceFile.readText(file), findings);
        if (!findings.isEmpty()) {
            throw new IllegalArgumentException(findings.get(0).toString());
        }
        return new TraceColumnsFile(file, top.table()).columns();
    }

    private ColumnMapping columns() {
        members.forEach((key, node) -> {
            if (!KEYS.contains(key)) {
                throw fault(
                        key,
                        "is no key of a mapping file; those are "
                                + KEYS.stream().sorted().collect(Collectors.joining(", ")));
            }
        });
        boolean header = !members.containsKey("header") || flag("header");
        ColumnMapping.Unit unit = unit(text("unit"));
        ColumnMapping.Clock clock = null;
        if (unit == ColumnMapping.Unit.TEXT) {
            try {
                clock = new ZonedClock(text("pattern"), text("zone"), textOrNull("begin"));
            } catch (IllegalArgumentException e) {
                throw fault("time", e.getMessage());
            }
        }
        return new ColumnMapping(
                new ColumnMapping.Names(
                        header, text("time"), text("owner"), text("flow"), textOrNull("sort"), textOrNull("weight")),
                unit,
                clock);
    }

    private ColumnMapping.Unit unit(String word) {
        return Stream.of(ColumnMapping.Unit.values())
                .filter(u -> u.word().equals(word))
                .findFirst()
                .orElseThrow(() -> fault("unit", word + " is none of us, ms, s, text"));
    }

    private boolean flag(String key) {
        if (members.get(key).value() instanceof Boolean flag) {
            return flag;
        }
        throw fault(key, "must be true or false");
    }

    private String text(String key) {
        String text = textOrNull(key);
        if (text == null) {
            throw fault(key, "is missing");
        }
        return text;
    }

    private String textOrNull(String key) {
        Node node = members.get(key);
        if (node == null || node.value() instanceof String) {
            return node == null ? null : (String) node.value();
        }
        throw fault(key, "must be text");
    }

    private IllegalArgumentException fault(String key, String why) {
        Node node = members.getOrDefault(key, new Node(null, 0, 0));
        return new IllegalArgumentException(
                new Finding(Finding.Severity.ERROR, file.toString(), node.line(), node.column(), key, why).toString());
    }
}
