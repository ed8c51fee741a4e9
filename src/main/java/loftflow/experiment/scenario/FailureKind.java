package loftflow.experiment.scenario;

import java.util.stream.Stream;

/** A kind of fault. */
public enum FailureKind {
    /** Endpoints refuse connections. */
    DOWN("down", true),
    /** Endpoints reject every call as over capacity and execute nothing. */
    REJECTING("shut", true),
    /** Endpoints accept calls and never respond. */
    UNRESPONSIVE("silent", true),
    /** A fraction of the calls fails. */
    ERRORS("errors", true),
    /** Calls take a multiple of their usual time. */
    SLOW("slow", true),
    /** Calls take longer and longer, up to a multiple of their usual time at the end. */
    GRADUAL_SLOWDOWN("leak", true),
    /** Endpoints are listed as draining, and are removed at the end. */
    DRAIN("drain", true),
    /** Rate limits are reduced to a fraction. */
    REDUCED_LIMIT("limits", true),
    /** Relays crash together, and restart after the fleet's restart time. */
    RELAY_CRASH("relays-die", false),
    /** Relays crash in ten groups, spread evenly over the duration, and restart after the fleet's restart time. */
    ROLLING_RESTART("relays-roll", false),
    /** Discovery is unavailable. */
    DISCOVERY_OUTAGE("discovery", false);

    private final String code;
    private final boolean affectsEndpoints;

    FailureKind(String code, boolean affectsEndpoints) {
        this.code = code;
        this.affectsEndpoints = affectsEndpoints;
    }

    /** The name in scenario files and reports. */
    public String code() {
        return code;
    }

    /**
     * The kind with a name in scenario files.
     *
     * @throws IllegalArgumentException where there is none
     */
    public static FailureKind ofCode(String code) {
        return Stream.of(values())
                .filter(kind -> kind.code.equals(code))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown kind of failure: " + code));
    }

    /** True if it affects endpoints rather than relays or discovery. */
    public boolean affectsEndpoints() {
        return affectsEndpoints;
    }

    /** True if it has a fraction: of the calls that fail, or of the limit that is left. */
    public boolean hasFraction() {
        return this == ERRORS || this == REDUCED_LIMIT;
    }

    /** True if it has a factor by which calls take longer. */
    public boolean hasSlowdownFactor() {
        return this == SLOW || this == GRADUAL_SLOWDOWN;
    }

    /** True if an affected endpoint returns with reduced capacity. */
    public boolean returnsCold() {
        return this == DOWN || this == REJECTING || this == UNRESPONSIVE;
    }
}
