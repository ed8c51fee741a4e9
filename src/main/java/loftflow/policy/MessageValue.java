package loftflow.policy;

import loftflow.policy.api.RequestClass;

/**
 * What is a message worth if it is delivered at a time, and what is lost by deferring it? Its class's priority weight
 * within the latency objective, then less and less until the deadline. Values are in units of the priority weight,
 * times microseconds.
 */
final class MessageValue {
    /** How much longer a message that is deferred now may have to wait. */
    private static final long DEFERRAL_MICROS = 2_000_000;

    /** A destination is overloaded when more than this share of its messages expires. */
    private static final double OVERLOAD_EXPIRED_SHARE = 0.02;

    /** Fewer expirations within the decay window do not count as overload. */
    private static final double MIN_EXPIRATIONS = 3;

    /** Above any class's weight: resumed messages without an attempt go first, as no other relay can deliver them. */
    private static final double RESUMED_UNTRIED_BONUS = 1e9;

    private final RoundContext context;
    private final ResponseTimes responseTimes;

    MessageValue(RoundContext context, ResponseTimes responseTimes) {
        this.context = context;
        this.responseTimes = responseTimes;
    }

    /** The value of a delivery at a time. */
    double valueAt(PendingMessage message, long deliveredAtMicros) {
        RequestClass type = message.requestClass;
        long age = deliveredAtMicros - message.acceptedAtMicros;
        if (age <= type.latencyObjectiveMicros()) {
            return type.priorityWeight();
        }
        if (deliveredAtMicros >= message.deadlineMicros) {
            return 0;
        }
        double late = age - type.latencyObjectiveMicros();
        double remainingShare = context.settings().halvingDecay()
                ? Math.max(type.lateWeight(), Math.pow(0.5, late / Math.max(1, type.latencyObjectiveMicros())))
                : 1 - (1 - type.lateWeight()) * late / (type.deadlineMicros() - type.latencyObjectiveMicros());
        return type.priorityWeight() * remainingShare;
    }

    /**
     * What is lost if other messages go first. At an overloaded destination a message that waits is lost whole: to send
     * the oldest first would deliver all of them late.
     */
    double lossIfDeferred(PendingMessage message, Route route) {
        long deliveredAt = context.now() + (long) responseTimes.expectedMicros(route);
        double bonus = message.isResumedUntried() ? RESUMED_UNTRIED_BONUS : 0;
        double valueIfDeferred =
                isOverloaded(message.destination) ? 0 : valueAt(message, deliveredAt + DEFERRAL_MICROS);
        return bonus + valueAt(message, deliveredAt) - valueIfDeferred;
    }

    private boolean isOverloaded(Destination destination) {
        double expirations = destination.expirations.ratePerSecond(context.now());
        return expirations > OVERLOAD_EXPIRED_SHARE * destination.arrivals.ratePerSecond(context.now())
                && expirations * DecayingCounter.WINDOW_MICROS > MIN_EXPIRATIONS * RoundContext.MICROS_PER_SECOND;
    }
}
