package loftflow.config.schema;

import static loftflow.config.schema.Setting.Type.TABLE;
import static loftflow.config.schema.Setting.Type.TABLES;
import static loftflow.config.schema.Setting.Type.WORD;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loftflow.config.file.Units;

/** Every setting of one form of file: the single source of what is accepted, explained and documented. */
public class Catalog {
    /** No upper bound. */
    protected static final double ANY = Double.MAX_VALUE;

    protected static final double MS = 1_000;
    protected static final double SECOND = 1_000_000;
    protected static final double DAY = 24 * 3_600 * SECOND;

    private final Map<String, Setting> settings = new LinkedHashMap<>();
    private final String preface;

    /**
     * An empty one, to be filled by the constructor of a form.
     *
     * @param preface the beginning of its reference
     */
    protected Catalog(String preface) {
        this.preface = preface;
    }

    private void add(
            String key,
            Setting.Type type,
            boolean required,
            String fallback,
            List<String> words,
            double least,
            double most,
            boolean derived,
            String text) {
        settings.put(key, new Setting(key, type, required, fallback, words, least, most, derived, text));
    }

    protected final void need(String key, Setting.Type type, double least, double most, String text) {
        add(key, type, true, null, List.of(), least, most, false, text);
    }

    protected final void may(String key, Setting.Type type, String fallback, double least, double most, String text) {
        add(key, type, false, fallback, List.of(), least, most, false, text);
    }

    protected final void word(String key, String fallback, List<String> words, String text) {
        add(key, WORD, false, fallback, words, 0, ANY, false, text);
    }

    protected final void wordNeeded(String key, List<String> words, String text) {
        add(key, WORD, true, null, words, 0, ANY, false, text);
    }

    protected final void table(String key, String text) {
        add(key, TABLE, false, null, List.of(), 0, ANY, false, text);
    }

    protected final void tables(String key, String text) {
        add(key + "[]", TABLES, false, null, List.of(), 0, ANY, false, text);
    }

    protected final void derivedTable(String key, String text) {
        add(key, TABLE, false, null, List.of(), 0, ANY, true, text);
    }

    protected final void derived(
            String key, Setting.Type type, String fallback, double least, double most, String text) {
        add(key, type, fallback == null, fallback, List.of(), least, most, true, text);
    }

    /** Every setting, in the order of the reference. */
    public List<Setting> all() {
        return List.copyOf(settings.values());
    }

    /** The setting of a key, with or without the numbers of its tables; empty where there is none. */
    public Optional<Setting> of(String key) {
        return Optional.ofNullable(settings.get(pattern(key)));
    }

    /** The setting of a key whose brackets were left out, such as {@code class.deadline}; empty where there is none. */
    public Optional<Setting> loose(String key) {
        return settings.values().stream().filter(s -> bare(s.key()).equals(key)).findFirst();
    }

    private static String bare(String key) {
        return key.replace("[]", "");
    }

    /** A key without the numbers of its tables: {@code class[].deadline} for {@code class[2].deadline}. */
    String pattern(String key) {
        String plain = key.replaceAll("\\[\\d*]", "[]");
        return settings.containsKey(plain) || !settings.containsKey(plain + "[]") ? plain : plain + "[]";
    }

    /** The settings right in a table; the empty key is the top. */
    List<Setting> in(String table) {
        return settings.values().stream().filter(s -> s.parent().equals(table)).toList();
    }

    /** The known key most like one that is unknown; empty where none is much like it. */
    public Optional<String> nearest(String unknown, boolean withDerived) {
        String plain = pattern(unknown);
        List<Setting> candidates = new ArrayList<>(settings.values());
        candidates.removeIf(s -> s.derived() && !withDerived);
        int most = Math.max(2, plain.substring(plain.lastIndexOf('.') + 1).length() / 3);
        return candidates.stream()
                .map(Setting::key)
                .min(Comparator.comparingInt(k -> distance(bare(k), bare(plain))))
                .filter(k -> distance(bare(k), bare(plain)) <= most);
    }

    /** Letters to change, add or leave out; two that have changed places count as one. */
    static int distance(String a, String b) {
        int[][] d = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    d[i][j] = i + j;
                    continue;
                }
                int differs = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] = Math.min(Math.min(d[i - 1][j], d[i][j - 1]) + 1, d[i - 1][j - 1] + differs);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[a.length()][b.length()];
    }

    /** The reference of all settings as Markdown. */
    public String reference() {
        StringBuilder text = new StringBuilder(preface);
        for (Setting setting : settings.values()) {
            if (setting.type() == TABLE || setting.type() == TABLES) {
                text.append("\n## ")
                        .append(setting.key())
                        .append("\n\n")
                        .append(setting.text())
                        .append(setting.derived() ? " Derived." : "")
                        .append("\n\n");
            } else {
                text.append(setting.key().indexOf('.') < 0 ? "\n" : "")
                        .append("- `")
                        .append(setting.key())
                        .append("`: ")
                        .append(setting.form())
                        .append(bounds(setting))
                        .append(holds(setting))
                        .append(' ')
                        .append(setting.text())
                        .append('\n');
            }
        }
        return text.toString();
    }

    /** What {@code config explain} prints for one setting. */
    public static String explanation(Setting setting) {
        return setting.key() + "\n  " + setting.text() + "\n  Form: " + setting.form() + bounds(setting)
                + holds(setting) + "\n  In: "
                + (setting.derived() ? "relay files (derived by config write)" : "application files and relay files");
    }

    private static String holds(Setting setting) {
        if (setting.type() == TABLE || setting.type() == TABLES) {
            return ".";
        }
        return setting.required()
                ? "; must be there."
                : setting.fallback() == null ? "; may be left out." : "; " + setting.fallback() + " if left out.";
    }

    /** The bounds in the setting's own unit, empty where there are none. */
    static String bounds(Setting setting) {
        if (setting.least() == 0 && setting.most() == ANY) {
            return "";
        }
        String least = inUnit(setting, setting.least());
        return setting.most() == ANY
                ? ", " + least + " at least"
                : ", from " + least + " to " + inUnit(setting, setting.most());
    }

    static String inUnit(Setting setting, double value) {
        return switch (setting.type()) {
            case SPAN -> Units.formatDuration((long) value);
            case SIZE -> Units.formatSize((long) value);
            case RATE -> Units.formatRate(value);
            case WHOLE -> Long.toString((long) value);
            default -> Double.toString(value).replaceFirst("\\.0$", "");
        };
    }
}
