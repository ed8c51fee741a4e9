package loftflow.policy.api;

/**
 * A health check ended; the components have the meaning of those of {@link AttemptCompleted}.
 *
 * @param retryAfterMicros Retry-After requested by the destination; 0 if none
 */
public record ProbeCompleted(
        String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport limitReport)
        implements PolicyEvent {}
