package loftflow.policy;

/** The circuit of a route or of a whole limit group. */
final class Circuit {
    CircuitState state = CircuitState.CLOSED;
    int run;
    long openedAt;
    long until;
    boolean bySilence;
    /** When the last call that failed had been sent. */
    long failedFrom;
    /** Open only until a check has shown that an address of an old list is still the route's. */
    boolean forCheck;

    boolean testing;
}
