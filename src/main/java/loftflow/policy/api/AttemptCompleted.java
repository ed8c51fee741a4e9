package loftflow.policy.api;

/** An attempt ended. {@code toldWait} is 0 where none was told; {@code closed} means nothing is owed. */
public record AttemptCompleted(
        long id,
        int attempt,
        String route,
        AttemptOutcome outcome,
        boolean closed,
        long retryAfterMicros,
        long elapsedMicros,
        LimitReport limitReport)
        implements PolicyEvent {}
