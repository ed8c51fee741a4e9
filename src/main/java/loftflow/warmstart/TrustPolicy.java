package loftflow.warmstart;

/**
 * How far a remembered endpoint is believed, by age and evidence. Trust begins at 1 with the latest evidence (discovery
 * listed it, or it answered) and halves with each half-life. It never rises but by new evidence.
 *
 * <table>
 * <caption>Degrees</caption>
 * <tr><td>removed, draining, struck out</td><td>never, at any age</td></tr>
 * <tr><td>trust of {@value #AS_LISTED_FROM} or more, the age proven, the last call not a failure</td><td>as
 * listed</td></tr>
 * <tr><td>2^-{@value #LAST_AFTER} or more</td><td>try first</td></tr>
 * <tr><td>less, or no age at all</td><td>only if nothing else is left</td></tr>
 * </table>
 *
 * @param halfLife microseconds
 */
public record TrustPolicy(long halfLife) {
    /** Half-lives after which an endpoint is the last to be tried. */
    public static final int LAST_AFTER = 30;
    /** Trust from which an endpoint is taken as listed: an address changes hands in minutes, not in seconds. */
    public static final double AS_LISTED_FROM = 0.95;

    public TrustPolicy {
        if (halfLife <= 0) {
            throw new IllegalArgumentException("halfLife: must be above 0");
        }
    }

    /**
     * Trust at an age in microseconds, from 0 to 1.
     */
    public double at(long age) {
        return Math.pow(0.5, Math.max(0, age) / (double) halfLife);
    }

    /** The age in microseconds up to which an endpoint is taken as listed. */
    public long asListedFor() {
        return (long) (halfLife * -Math.log(AS_LISTED_FROM) / Math.log(2));
    }

    /**
     * The latest time at which evidence may be said to have come of an endpoint that has a degree at a start: it must
     * not
     * be believed more at the next one, by clocks that don't tell what these have shown.
     *
     * @param now the relay's own time
     */
    long latestEvidence(EndpointTrust degree, long now) {
        return switch (degree) {
            case AS_LISTED -> now;
            case TRY_FIRST -> now - asListedFor() - 1;
            case LAST, NEVER -> now - (LAST_AFTER + 1) * halfLife;
        };
    }

    /**
     * The degree of an endpoint at a start.
     *
     * @param known what was remembered of it
     * @param savedAt the relay's own time when that was so
     * @param elapsed since then
     * @param whole false where something may have been told since that could not be written down
     */
    public EndpointTrust degree(KnownEndpoint known, long savedAt, DowntimeEstimate elapsed, boolean whole) {
        if (known.state() != KnownEndpoint.State.LISTED) {
            return EndpointTrust.NEVER;
        }
        long evidence = Math.max(known.listedAt(), known.answeredAt());
        // Guards against evidence from the future, which would make a young endpoint of an old one.
        long age = elapsed.most() + Math.max(0, savedAt - evidence);
        double trust = at(age);
        if (trust < Math.pow(0.5, LAST_AFTER)) {
            return EndpointTrust.LAST;
        }
        boolean sound = whole && !elapsed.doubtful() && evidence <= savedAt && known.failedAt() <= known.answeredAt();
        return age <= asListedFor() && sound ? EndpointTrust.AS_LISTED : EndpointTrust.TRY_FIRST;
    }
}
