package loftflow.protocol;

/**
 * The names in the discovery protocol (PROTOCOL, Discovery): requests for endpoint lists and the fields of the lists.
 */
public final class DiscoveryProtocol {
    /** Path of the endpoint list. */
    public static final String LIST_PATH = "/api/targets";
    /** Query parameter of a watch: the known revision. */
    public static final String AFTER_REVISION = "after";
    /** Query parameter of a watch: the maximum time to wait for a newer revision, in milliseconds. */
    public static final String WAIT_MILLIS = "wait_ms";

    /** The list's revision. */
    public static final String REVISION = "rev";
    /** True for a full list, false for a delta. */
    public static final String IS_FULL = "all";
    /** The entries. */
    public static final String ENDPOINTS = "targets";

    /** Entry: the endpoint's name, the same at every relay. */
    public static final String ROUTE = "uid";
    /** Entry: the address at which the requesting relay reaches the endpoint. */
    public static final String ADDRESS = "endpoint";
    /** Entry: the zone. */
    public static final String ZONE = "az";
    /** Entry: the kind of destination. */
    public static final String KIND = "model";
    /** Entry: the number of the destination. */
    public static final String DESTINATION = "pod_group";
    /** Entry: one of the {@code STATE_} values. */
    public static final String STATE = "state";
    /** Entry: the listed rate, in calls per second. */
    public static final String RATE_PER_SECOND = "capacity_hint";
    /** Entry: the time of the endpoint's last start, in milliseconds since the epoch; not used by relays. */
    public static final String STARTED_AT_MILLIS = "boot_ms";

    /** The endpoint accepts new calls. */
    public static final String STATE_LISTED = "in_service";
    /** The endpoint finishes its open calls and accepts no new ones. */
    public static final String STATE_DRAINING = "terminating";
    /** The endpoint was removed; in deltas only. */
    public static final String STATE_REMOVED = "terminated";

    private DiscoveryProtocol() {}
}
