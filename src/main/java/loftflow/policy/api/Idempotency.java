package loftflow.policy.api;

/** Idempotency of the messages of a request class. */
public enum Idempotency {
    /** May be delivered any number of times. */
    IDEMPOTENT("repeatable"),
    /** Carries a key by which destinations discard repeats within the key window of the class. */
    IDEMPOTENT_BY_KEY("by-key"),
    /** Must never take effect twice. */
    NON_IDEMPOTENT("once");

    private final String settingName;

    Idempotency(String settingName) {
        this.settingName = settingName;
    }

    /** Returns the name of this value in settings and scenario files. */
    public String settingName() {
        return settingName;
    }

    /**
     * Returns the value with a {@link #settingName}.
     *
     * @throws IllegalArgumentException if no value has this name
     */
    public static Idempotency ofSettingName(String name) {
        for (Idempotency idempotency : values()) {
            if (idempotency.settingName.equals(name)) {
                return idempotency;
            }
        }
        throw new IllegalArgumentException("unknown idempotency: " + name);
    }
}
