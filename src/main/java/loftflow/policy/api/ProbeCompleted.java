package loftflow.policy.api;

/** A probe ended; {@code toldWait} is 0 where none was told. */
public record ProbeCompleted(
        String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport limitReport)
        implements PolicyEvent {}
