package loftflow.policy.api;

/** Which routes of a destination drop a repeated key: all of them, or those in one zone or cell. */
public enum KeyScope {
    ALL,
    ZONE,
    CELL
}
