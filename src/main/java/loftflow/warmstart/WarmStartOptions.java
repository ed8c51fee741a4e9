package loftflow.warmstart;

/**
 * Settings of warm start.
 *
 * @param trustPolicy policy that computes the trust in restored endpoints
 * @param settleMicros microseconds for which discovery must repeat a doubtful list before it is accepted; 0 accepts
 *     every list at once
 * @param retryAfterMarginMicros microseconds added to a retry-after that is still pending at a restart
 * @param warmUpMicros microseconds for which an endpoint is cold after it has recovered
 * @param isListFixed true if the list comes from the deploy file: it is complete, and no endpoint is ejected
 */
public record WarmStartOptions(
        TrustPolicy trustPolicy,
        long settleMicros,
        long retryAfterMarginMicros,
        long warmUpMicros,
        boolean isListFixed) {}
