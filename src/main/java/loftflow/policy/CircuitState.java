package loftflow.policy;

enum CircuitState {
    CLOSED,
    OPEN,
    HALF_OPEN
}
