package loftflow.protocol;

/** Names of endpoint lists and of the requests for them (PROTOCOL, Discovery). */
public final class DiscoveryProtocol {
    /** The path of the full list. */
    public static final String LIST_PATH = "/api/targets";
    /** Query parameter of a watch: the revision that is known. */
    public static final String AFTER_REVISION = "after";
    /** Query parameter of a watch: how long to wait for a newer revision, in milliseconds. */
    public static final String WAIT_MILLIS = "wait_ms";

    /** The list's revision. */
    public static final String REVISION = "rev";
    /** True for a full list, false for changes. */
    public static final String IS_FULL = "all";
    /** The entries. */
    public static final String ENDPOINTS = "targets";

    /** Entry: the endpoint's name, the same at every relay. */
    public static final String ROUTE = "uid";
    /** Entry: the address at which this relay reaches the endpoint. */
    public static final String ADDRESS = "endpoint";
    /** Entry: the zone. */
    public static final String ZONE = "az";
    /** Entry: the kind of destination. */
    public static final String KIND = "model";
    /** Entry: the number of the destination. */
    public static final String DESTINATION = "pod_group";
    /** Entry: one of the {@code STATE_} values. */
    public static final String STATE = "state";
    /** Entry: the listed rate in calls a second. */
    public static final String RATE_PER_SECOND = "capacity_hint";
    /** Entry: when the endpoint last started, in Unix milliseconds; not used by relays. */
    public static final String STARTED_AT_MILLIS = "boot_ms";

    /** The endpoint takes new work. */
    public static final String STATE_LISTED = "in_service";
    /** The endpoint finishes what it has and takes nothing new. */
    public static final String STATE_DRAINING = "terminating";
    /** The endpoint is gone; among changes only. */
    public static final String STATE_REMOVED = "terminated";

    private DiscoveryProtocol() {}
}
