package loftflow.config.schema;

import java.util.List;

/**
 * One setting that a file may hold: the single source of what is accepted, explained and documented.
 *
 * @param key its full name; {@code []} marks a table that may stand several times, as in {@code class[].deadline}
 * @param fallback what holds where it is left out, as a file would write it; null where there is nothing
 * @param words the values that a {@link Type#WORD} may have
 * @param least the least value, in the type's own unit
 * @param most the largest value, in the type's own unit
 * @param derived true where the tool works it out, so that it belongs in relay files alone
 * @param text what it is for, in a sentence or two
 */
public record Setting(
        String key,
        Type type,
        boolean required,
        String fallback,
        List<String> words,
        double least,
        double most,
        boolean derived,
        String text) {

    /** What a value is. */
    public enum Type {
        /** Short text without spaces. */
        NAME("a name of letters, digits and . _ -"),
        /** What others gave a name to. */
        TEXT("text of up to 255 characters"),
        /** Where a value of a message is taken from. */
        SOURCE("a source such as header:x, property:type, routing-key, exchange or fixed:x"),
        /** One of a few words. */
        WORD("one of"),
        /** A folder of this machine. */
        FOLDER("an absolute path"),
        /** Digits and a port. */
        ADDRESS("an address in digits with its port, such as 127.0.0.1:8080"),
        WHOLE("a whole number"),
        NUMBER("a number"),
        FLAG("true or false"),
        /** Microseconds. */
        SPAN("a span such as 250ms, 1.5s or 2m"),
        /** Bytes. */
        SIZE("a size such as 512B, 64KiB or 3MiB"),
        /** A second. */
        RATE("a rate such as 20/s or 90/m"),
        /** Several of {@link #NAME}. */
        NAMES("an array of names"),
        TABLE("a table"),
        /** A table that may stand several times. */
        TABLES("an array of tables");

        private final String form;

        Type(String form) {
            this.form = form;
        }

        /** How a value is written, in words. */
        public String form() {
            return form;
        }
    }

    /** The part of the key after the last dot, without brackets. */
    public String name() {
        return key.substring(key.lastIndexOf('.') + 1).replace("[]", "");
    }

    /** The key of the table that it stands in; empty for the top. */
    public String parent() {
        int dot = key.lastIndexOf('.');
        return dot < 0 ? "" : key.substring(0, dot);
    }

    /** How a value is written, in words, with the words that are possible. */
    public String form() {
        return type == Type.WORD ? "one of " + String.join(", ", words) : type.form();
    }
}
