package loftflow.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/** What the relay that gives a group's turns remembers. */
final class PermitLedger {
    final Set<Integer> askers = new LinkedHashSet<>();
    double factor = 1;
    int failures;
    long nextAt;
    long cutAt = Long.MIN_VALUE / 2;
    long upAt = Long.MIN_VALUE / 2;
    long guardedAt = Long.MIN_VALUE / 2;
    long grownAt;
}
