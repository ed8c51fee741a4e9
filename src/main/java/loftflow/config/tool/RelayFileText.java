package loftflow.config.tool;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loftflow.config.file.Node;
import loftflow.config.plan.DerivedSettingsWriter;
import loftflow.config.plan.Planner;
import loftflow.config.schema.Schema;
import loftflow.config.schema.Setting;

/** The text of a relay file: what was declared, then every derived figure with how it came about. Alike for alike. */
public final class RelayFileText {
    private static final String SEAL = "# Unchanged since it was written: ";

    private final StringBuilder out = new StringBuilder();

    private RelayFileText() {}

    /** The text for an application file's tree and its plan. */
    public static String of(Node application, String fileName, Planner.Plan plan) {
        RelayFileText text = new RelayFileText();
        text.out
                .append("# Written by loftflow config write. Change the application file and write again, or change"
                        + " this\n# file: the next write then shows the difference and wants --force."
                        + "\n# Start line:\n#   ")
                .append(DerivedSettingsWriter.startLine(plan.figures(), fileName))
                .append("\n\n");
        text.table("", "", application);
        text.derived(plan);
        String body = text.out.toString();
        return SEAL + digest(body) + "\n" + body;
    }

    /** True where a text is just as this class wrote it, for whatever application file. */
    public static boolean isUntouched(String text) {
        int end = text.indexOf('\n');
        return text.startsWith(SEAL)
                && end > 0
                && text.substring(SEAL.length(), end).equals(digest(text.substring(end + 1)));
    }

    private static String digest(String text) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return "sha256 " + HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** The settings of a table in the schema's order: values first, since tables end what they stand in. */
    private void table(String pattern, String header, Node node) {
        List<Setting> settings = Schema.RELAY.all().stream()
                .filter(s -> s.parent().equals(pattern))
                .toList();
        for (Setting setting : settings) {
            Node value = node.table().get(setting.name());
            if (value != null && value.table() == null && setting.type() != Setting.Type.TABLES) {
                out.append(setting.name()).append(" = ").append(literal(value)).append('\n');
            }
        }
        for (Setting setting : settings) {
            Node value = node.table().get(setting.name());
            String name = header.isEmpty() ? setting.name() : header + "." + setting.name();
            if (value == null) {
                continue;
            }
            if (setting.type() == Setting.Type.TABLE) {
                out.append("\n[").append(name).append("]\n");
                table(setting.key(), name, value);
            } else if (setting.type() == Setting.Type.TABLES) {
                for (Node entry : value.array()) {
                    out.append("\n[[").append(name).append("]]\n");
                    table(setting.key(), name, entry);
                }
            }
        }
    }

    private static String literal(Node node) {
        if (node.array() != null) {
            return node.array().stream().map(RelayFileText::literal).collect(Collectors.joining(", ", "[", "]"));
        }
        return node.value() instanceof String text ? quoted(text) : String.valueOf(node.value());
    }

    private static String quoted(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c == 0x7f) {
                quoted.append(String.format("\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }

    private void derived(Planner.Plan plan) {
        Map<String, String> values = DerivedSettingsWriter.values(plan.figures());
        String section = "";
        for (Map.Entry<String, String> value : values.entrySet()) {
            Setting setting = Schema.RELAY.of(value.getKey()).orElseThrow();
            if (!setting.parent().equals(section)) {
                section = setting.parent();
                out.append("\n[").append(section).append("]\n");
            }
            String reason = plan.reasons().get(value.getKey());
            out.append("# ")
                    .append(setting.text())
                    .append(reason == null ? "" : " Here: " + reason + ".")
                    .append('\n')
                    .append(setting.name())
                    .append(" = ")
                    .append(value.getValue())
                    .append('\n');
        }
    }
}
