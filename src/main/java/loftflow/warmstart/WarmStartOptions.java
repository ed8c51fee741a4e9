package loftflow.warmstart;

/**
 * Settings.
 *
 * @param trustPolicy how far restored endpoints are trusted
 * @param settleMicros microseconds for which discovery must repeat a doubtful list before it is accepted; 0 accepts at
 *     once
 * @param retryAfterMarginMicros microseconds added to a retry-after that outlasts a restart
 * @param warmUpMicros microseconds for which an endpoint is cold after it has recovered
 * @param isListFixed the list comes from the deploy file: it is complete, and no endpoint is ejected
 */
public record WarmStartOptions(
        TrustPolicy trustPolicy,
        long settleMicros,
        long retryAfterMarginMicros,
        long warmUpMicros,
        boolean isListFixed) {}
