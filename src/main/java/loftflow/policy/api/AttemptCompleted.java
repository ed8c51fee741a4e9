package loftflow.policy.api;

/**
 * An attempt ended. An attempt that is unknown, or has ended before, is ignored.
 *
 * @param id the message
 * @param attempt the number of the attempt, the first is 0
 * @param outcome how it ended
 * @param messageClosed nothing more is owed for the message
 * @param retryAfterMicros how long the destination asked to be left alone; 0 where it did not
 * @param elapsedMicros since the attempt was sent
 * @param limitReport never null
 */
public record AttemptCompleted(
        long id,
        int attempt,
        String route,
        AttemptOutcome outcome,
        boolean messageClosed,
        long retryAfterMicros,
        long elapsedMicros,
        LimitReport limitReport)
        implements PolicyEvent {}
