package loftflow.soak;

/** The classes of messages: one for each kind of repetition, and one whose messages are ordered by key. */
enum MessageClass {
    IDEMPOTENT("note", 3_000, 0),
    KEYED("order", 7_000, 5_000),
    NON_IDEMPOTENT("settle", 4_000, 0),
    ORDERED("line", 6_000, 0);

    private final String configuredName;
    private final long deadlineMillis;
    private final long keyWindowMillis;

    MessageClass(String configuredName, long deadlineMillis, long keyWindowMillis) {
        this.configuredName = configuredName;
        this.deadlineMillis = deadlineMillis;
        this.keyWindowMillis = keyWindowMillis;
    }

    String configuredName() {
        return configuredName;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    /** How long an upstream drops a repeated key; 0 where the class has no keys. */
    long keyWindowMillis() {
        return keyWindowMillis;
    }

    /** True where a message must not run twice, whatever its key. */
    boolean runsOnce() {
        return this == NON_IDEMPOTENT || this == ORDERED;
    }

    /** The table of the class in a relay file. */
    String table() {
        String repeat =
                switch (this) {
                    case IDEMPOTENT -> "repeat = \"repeatable\"";
                    case KEYED -> "repeat = \"by-key\"\nkey-window = \"" + keyWindowMillis + "ms\"";
                    case NON_IDEMPOTENT -> "repeat = \"once\"";
                    case ORDERED -> "repeat = \"once\"\nin-order = true\nto = [\"elevators\"]";
                };
        return "[[class]]\nname = \"" + configuredName + "\"\n" + repeat + "\nwanted = \"1s\"\ndeadline = \""
                + deadlineMillis + "ms\"\npeak-rate = \"40/s\"\n";
    }
}
