package loftflow.config.schema;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loftflow.config.file.Finding;
import loftflow.config.file.Node;
import loftflow.config.file.Units;

/**
 * A table of a file, read by the schema: every key is known, every value is of its type and within its bounds, or a
 * finding says otherwise. Getters give what was read; after a finding they give the fallback or a harmless value, so
 * that reading goes on and every finding comes at once.
 */
public final class TableReader {
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,99}";
    private static final String SOURCE = "header:[^\\p{Cntrl}]{1,200}|fixed:[^\\p{Cntrl}]{1,200}|routing-key|exchange|"
            + "property:(content-type|content-encoding|delivery-mode|priority|correlation-id|reply-to|expiration|"
            + "message-id|timestamp|type|user-id|app-id|cluster-id)";

    private final Catalog catalog;
    private final String file;
    private final String key;
    private final Node node;
    private final boolean derived;
    private final Map<String, Object> values = new HashMap<>();
    private final Map<String, TableReader> tables = new HashMap<>();
    private final Map<String, List<TableReader>> arrays = new HashMap<>();
    private boolean faulty;

    private TableReader(Catalog catalog, String file, String key, Node node, boolean derived) {
        this.catalog = catalog;
        this.file = file;
        this.key = key;
        this.node = node;
        this.derived = derived;
    }

    /**
     * Reads a whole file.
     *
     * @param catalog what may stand in it
     * @param derived whether derived settings may and must stand in it
     * @param findings takes everything that is wrong
     */
    public static TableReader read(Catalog catalog, String file, Node top, boolean derived, List<Finding> findings) {
        TableReader section = new TableReader(catalog, file, "", top, derived);
        section.readAll(findings);
        return section;
    }

    private void readAll(List<Finding> findings) {
        int before = findings.size();
        Map<String, Setting> known = new HashMap<>();
        catalog.in(catalog.pattern(key)).forEach(s -> known.put(s.name(), s));
        node.table().forEach((name, value) -> {
            Setting setting = known.get(name);
            if (setting == null) {
                findings.add(at(name).error("unknown setting"
                        + catalog.nearest(full(name), derived)
                                .map(near -> "; did you mean " + near + "?")
                                .orElse("")));
            } else if (setting.derived() && !derived) {
                findings.add(at(name).error("is derived by config write and has no place in an application file"));
            }
        });
        for (Setting setting : known.values()) {
            if (setting.derived() && !derived) {
                continue;
            }
            read(setting, node.table().get(setting.name()), findings);
        }
        faulty |= findings.size() > before;
    }

    private void read(Setting setting, Node value, List<Finding> findings) {
        String name = setting.name();
        switch (setting.type()) {
            case TABLE -> {
                boolean absent = value == null || value.table() == null;
                if (value != null && absent) {
                    findings.add(at(name).error("a table is needed, not " + value.kind()));
                }
                Node table = absent ? new Node(Map.of(), node.line(), node.column()) : value;
                TableReader section = new TableReader(catalog, file, full(name), table, derived);
                section.readAll(findings);
                tables.put(name, section);
            }
            case TABLES -> arrays.put(name, readTables(name, value, findings));
            default -> {
                if (value == null && setting.required()) {
                    findings.add(at(name).error("is missing; it is " + setting.form()));
                } else if (value != null) {
                    Optional<String> wrong = take(setting, value);
                    wrong.ifPresent(reason -> findings.add(at(name).error(reason)));
                }
                if (!values.containsKey(name)) {
                    values.put(name, harmless(setting));
                }
            }
        }
    }

    private List<TableReader> readTables(String name, Node value, List<Finding> findings) {
        List<TableReader> sections = new ArrayList<>();
        if (value == null) {
            return sections;
        }
        if (value.array() == null) {
            findings.add(at(name).error("an array of tables is needed ([[" + name + "]]), not " + value.kind()));
            return sections;
        }
        for (Node entry : value.array()) {
            String entryKey = full(name) + "[" + (sections.size() + 1) + "]";
            if (entry.table() == null) {
                findings.add(new SettingLocation(file, entry.line(), entry.column(), entryKey)
                        .error("a table is needed, not " + entry.kind()));
                continue;
            }
            TableReader section = new TableReader(catalog, file, entryKey, entry, derived);
            section.readAll(findings);
            sections.add(section);
        }
        return sections;
    }

    /** Takes a value in; the reason why not where it makes no sense. */
    private Optional<String> take(Setting setting, Node value) {
        try {
            Object parsed = parse(setting, value);
            if (parsed instanceof Number number) {
                double size = number.doubleValue();
                if (!(size >= setting.least() && size <= setting.most())) {
                    return Optional.of(Catalog.inUnit(setting, size) + " is out of bounds: "
                            + Catalog.bounds(setting).replaceFirst("^, ", ""));
                }
            }
            values.put(setting.name(), parsed);
            return Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.of(e.getMessage());
        }
    }

    private static Object parse(Setting setting, Node node) {
        Object value = node.value();
        switch (setting.type()) {
            case WHOLE -> {
                if (value instanceof Long) {
                    return value;
                }
            }
            case NUMBER -> {
                if (value instanceof Long || value instanceof Double number && Double.isFinite(number)) {
                    return ((Number) value).doubleValue();
                }
            }
            case FLAG -> {
                if (value instanceof Boolean) {
                    return value;
                }
            }
            case NAMES -> {
                if (node.array() != null) {
                    return node.array().stream()
                            .map(entry -> text(Setting.Type.NAME, List.of(), entry))
                            .toList();
                }
            }
            default -> {
                return text(setting.type(), setting.words(), node);
            }
        }
        throw new IllegalArgumentException(
                setting.form() + " is needed, not " + (value instanceof Double ? value.toString() : node.kind()));
    }

    private static Object text(Setting.Type type, List<String> words, Node node) {
        if (!(node.value() instanceof String text)) {
            throw new IllegalArgumentException(
                    (type == Setting.Type.WORD ? "one of " + String.join(", ", words) : type.form()) + " is needed"
                            + (type == Setting.Type.SPAN || type == Setting.Type.SIZE || type == Setting.Type.RATE
                                    ? ", with its unit and in quotes"
                                    : "")
                            + ", not " + node.kind());
        }
        return switch (type) {
            case SPAN -> Units.parseDurationMicros(text);
            case SIZE -> Units.parseSizeBytes(text);
            case RATE -> Units.parseRatePerSecond(text);
            case ADDRESS -> Addresses.literal(text);
            case WORD -> oneOf(words, text);
            case TEXT -> matching(
                    text, "[^\\p{Cntrl}]{0,255}", "must be up to 255 characters, none of them control ones");
            case SOURCE -> matching(
                    text,
                    SOURCE,
                    "must be header:NAME, property:NAME of a property of AMQP's class basic,"
                            + " routing-key, exchange or fixed:VALUE");
            case FOLDER -> matching(text, "/[^\\p{Cntrl}]*", "must be an absolute path");
            default -> matching(
                    text,
                    NAME,
                    "must be letters, digits and . _ -, 100 at the most, and begin with a" + " letter or digit");
        };
    }

    private static String oneOf(List<String> words, String text) {
        if (!words.contains(text)) {
            throw new IllegalArgumentException("\"" + text + "\" is none of " + String.join(", ", words));
        }
        return text;
    }

    private static String matching(String text, String pattern, String rule) {
        if (!text.matches(pattern)) {
            throw new IllegalArgumentException("\"" + text.replaceAll("\\p{Cntrl}", "?") + "\" " + rule);
        }
        return text;
    }

    /** What stands for a value that is missing: the fallback, or something that no later check trips over. */
    private static Object harmless(Setting setting) {
        if (setting.fallback() == null) {
            return null;
        }
        return switch (setting.type()) {
            case WHOLE -> Long.valueOf(setting.fallback());
            case NUMBER -> Double.valueOf(setting.fallback());
            case FLAG -> Boolean.valueOf(setting.fallback());
            default -> text(setting.type(), setting.words(), new Node(setting.fallback(), 0, 0));
        };
    }

    private String full(String name) {
        return key.isEmpty() ? name : key + "." + name;
    }

    /** Where a setting of this table stands; the table's own place where it is left out. */
    public SettingLocation at(String name) {
        Node value = node.table().get(name);
        Node where = value == null ? node : value;
        return new SettingLocation(file, where.line(), where.column(), full(name));
    }

    /** Where this table stands. */
    public SettingLocation place() {
        return new SettingLocation(file, node.line(), node.column(), key);
    }

    /** True where something in this table, or in one within it, can't be read. */
    public boolean isFaulty() {
        return faulty;
    }

    public boolean has(String name) {
        return node.table().containsKey(name);
    }

    public TableReader table(String name) {
        return tables.get(name);
    }

    public List<TableReader> tables(String name) {
        return arrays.get(name);
    }

    public String text(String name) {
        return (String) values.get(name);
    }

    /** Microseconds, bytes or a plain number; 0 where it is left out and has no fallback. */
    public long whole(String name) {
        return values.get(name) instanceof Long value ? value : 0;
    }

    /** A rate a second or a plain number; 0 where it is left out and has no fallback. */
    public double number(String name) {
        return values.get(name) instanceof Double value ? value : 0;
    }

    public boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    /** Names, or null where they are left out. */
    @SuppressWarnings("unchecked")
    public List<String> names(String name) {
        return (List<String>) values.get(name);
    }
}
