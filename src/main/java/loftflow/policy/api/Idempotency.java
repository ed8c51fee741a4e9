package loftflow.policy.api;

/** How often a message of a class may take effect. */
public enum Idempotency {
    /** May be delivered any number of times. */
    IDEMPOTENT("repeatable"),
    /** Carries a key by which destinations drop a repeat within the class's key window. */
    IDEMPOTENT_BY_KEY("by-key"),
    /** Must never take effect twice. */
    NON_IDEMPOTENT("once");

    private final String settingName;

    Idempotency(String settingName) {
        this.settingName = settingName;
    }

    /** The name that settings and scenario files give it. */
    public String settingName() {
        return settingName;
    }

    /**
     * What a {@link #settingName} stands for.
     *
     * @throws IllegalArgumentException where no value has this name
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
