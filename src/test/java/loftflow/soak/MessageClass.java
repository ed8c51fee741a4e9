package loftflow.soak;

/** The request classes of a run: one for each kind of idempotency, and one with ordering keys. */
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

    /** Returns how long an upstream drops repetitions of an idempotency key, or 0 if the class has no keys. */
    long keyWindowMillis() {
        return keyWindowMillis;
    }

    /** Returns whether a message must never be executed twice. */
    boolean mustNotRunTwice() {
        return this == NON_IDEMPOTENT || this == ORDERED;
    }

    /** Returns the TOML table that defines the class in a relay file. */
    String tomlTable() {
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
