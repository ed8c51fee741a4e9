package loftflow.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/** What the relay that coordinates a group's permits knows of it; unused at all other relays. */
final class PermitLedger {
    /** Relays that wait for a permit, in the order of their requests. */
    final Set<Integer> requesters = new LinkedHashSet<>();
    /** Correction of the known limit, learned from rejections. */
    double rateFactor = 1;

    int consecutiveFailures;
    long nextPermitAtMicros;
    long lastCutAtMicros = Long.MIN_VALUE / 2;
    long recoveredAtMicros = Long.MIN_VALUE / 2;
    long congestionNoticeSentAtMicros = Long.MIN_VALUE / 2;
    long lastGrowthAtMicros;
}
