package loftflow.policy;

import java.util.LinkedHashSet;
import java.util.Set;

/** State of a group's permits at the relay that coordinates them; unused at all other relays. */
final class PermitLedger {
    /** Relays that wait for a permit, in the order of their requests. */
    final Set<Integer> requesters = new LinkedHashSet<>();
    /** Factor that corrects the known limit according to rejections. */
    double rateFactor = 1;

    int consecutiveFailures;
    long nextPermitAtMicros;
    long lastCutAtMicros = Long.MIN_VALUE / 2;
    long recoveredAtMicros = Long.MIN_VALUE / 2;
    long congestionNoticeSentAtMicros = Long.MIN_VALUE / 2;
    long lastGrowthAtMicros;
}
