package loftflow.experiment.scenario;

/**
 * The figures of the delivery rules that every run is held to.
 *
 * @param drainGraceMicros how long after a drain notice calls may still be sent
 * @param collapseLoadFactor a recovering endpoint collapses under more than this multiple of its capacity
 * @param collapseWindowMicros the window over which that load is measured
 * @param completionSlackMicros how long after the deadline a completion may be reported
 * @param overQuotaWeight factor for the value of messages above a tenant's quota
 * @param maxAttempts attempts per message
 * @param connectTimeoutMicros how long a relay waits for a connection
 */
public record RuleLimits(
        long drainGraceMicros,
        double collapseLoadFactor,
        long collapseWindowMicros,
        long completionSlackMicros,
        double overQuotaWeight,
        int maxAttempts,
        long connectTimeoutMicros) {
    /** The figures of the specification. */
    public static final RuleLimits STANDARD = new RuleLimits(500_000, 2.5, 2_000_000, 300_000, 0.1, 12, 1_500_000);
}
