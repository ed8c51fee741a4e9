package loftflow.policy.api;

/**
 * A health check ended; the fields are those of {@link AttemptCompleted}.
 *
 * @param retryAfterMicros 0 where the destination did not ask to be left alone
 */
public record ProbeCompleted(
        String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport limitReport)
        implements PolicyEvent {}
