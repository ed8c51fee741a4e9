package loftflow.policy.api;

/**
 * An attempt ended. The policy ignores this event if the attempt is unknown or has already ended.
 *
 * @param id the message
 * @param attempt index of the attempt among those of the message, from 0
 * @param route name of the route of the attempt
 * @param outcome outcome of the attempt
 * @param messageClosed true if the message is closed: the policy must neither retry nor end it
 * @param retryAfterMicros Retry-After requested by the destination; 0 if none
 * @param elapsedMicros time since the attempt was sent
 * @param limitReport rate limit reported by the destination; {@link LimitReport#NONE} if none, never null
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
