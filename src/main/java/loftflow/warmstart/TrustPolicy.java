package loftflow.warmstart;

import loftflow.clock.DowntimeEstimate;

/**
 * Computes the trust in a restored endpoint from its age and evidence. Trust is 1 at the time of the latest evidence
 * (discovery listed the endpoint, or it answered a call) and halves with each half-life. Only new evidence raises it.
 *
 * <table>
 * <caption>Trust levels</caption>
 * <tr><td>removed, draining or ejected</td><td>{@link EndpointTrust#NEVER}, regardless of age</td></tr>
 * <tr><td>trust of {@value #MIN_AS_LISTED_VALUE} or more, its age proven, the last call not a failure</td>
 * <td>{@link EndpointTrust#AS_LISTED}</td></tr>
 * <tr><td>2^-{@value #LAST_RESORT_HALF_LIVES} or more</td><td>{@link EndpointTrust#PROBE_FIRST}</td></tr>
 * <tr><td>less, or its age unknown</td><td>{@link EndpointTrust#LAST_RESORT}</td></tr>
 * </table>
 *
 * @param halfLifeMicros above 0
 */
public record TrustPolicy(long halfLifeMicros) {
    /** Number of half-lives after which an endpoint is used only as a last resort. */
    public static final int LAST_RESORT_HALF_LIVES = 30;
    /** Lowest trust at which an endpoint is used as listed. Addresses are reassigned within minutes, not seconds. */
    public static final double MIN_AS_LISTED_VALUE = 0.95;

    public TrustPolicy {
        if (halfLifeMicros <= 0) {
            throw new IllegalArgumentException("halfLife: must be above 0");
        }
    }

    /** Returns the trust at an age in microseconds, from 0 to 1. */
    public double valueAtAge(long ageMicros) {
        return Math.pow(0.5, Math.max(0, ageMicros) / (double) halfLifeMicros);
    }

    /** Returns the age in microseconds up to which an endpoint is used as listed. */
    public long asListedMaxAgeMicros() {
        return (long) (halfLifeMicros * -Math.log(MIN_AS_LISTED_VALUE) / Math.log(2));
    }

    /**
     * Returns the latest evidence time that is consistent with the trust in an endpoint at a start. Evidence is capped
     * to it: the next start may have certain clocks and all deltas, and still must not trust the endpoint more.
     *
     * @param nowMicros current time by the relay's own clock
     */
    long latestEvidenceMicros(EndpointTrust trust, long nowMicros) {
        return switch (trust) {
            case AS_LISTED -> nowMicros;
            case PROBE_FIRST -> nowMicros - asListedMaxAgeMicros() - 1;
            case LAST_RESORT, NEVER -> nowMicros - (LAST_RESORT_HALF_LIVES + 1) * halfLifeMicros;
        };
    }

    /**
     * Returns the trust in an endpoint at a start.
     *
     * @param known the endpoint's state from the snapshot and its deltas
     * @param savedAtMicros time of the snapshot by the relay's own clock
     * @param downtime the time since the snapshot
     * @param isComplete false if deltas since the snapshot may be missing
     */
    public EndpointTrust trustOf(
            KnownEndpoint known, long savedAtMicros, DowntimeEstimate downtime, boolean isComplete) {
        if (!known.isListed()) {
            return EndpointTrust.NEVER;
        }
        long evidenceMicros = Math.max(known.listedAtMicros(), known.answeredAtMicros());
        // Evidence later than the snapshot counts as of the snapshot's time, since it must not lower the age.
        long ageMicros = downtime.maxMicros() + Math.max(0, savedAtMicros - evidenceMicros);
        if (valueAtAge(ageMicros) < Math.pow(0.5, LAST_RESORT_HALF_LIVES)) {
            return EndpointTrust.LAST_RESORT;
        }
        boolean isProven = isComplete
                && !downtime.isUncertain()
                && evidenceMicros <= savedAtMicros
                && known.failedAtMicros() <= known.answeredAtMicros();
        return ageMicros <= asListedMaxAgeMicros() && isProven ? EndpointTrust.AS_LISTED : EndpointTrust.PROBE_FIRST;
    }
}
