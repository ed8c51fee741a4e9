package loftflow.policy;

import loftflow.policy.api.RequestClass;

/**
 * Computes the value of delivering a message at a given time, and the loss of value by deferring it. The value is the
 * class's priority weight within the latency objective and decreases from there to the deadline. Values are in units of
 * the priority weight, times are in microseconds.
 */
final class MessageValue {
    /** Additional wait that is assumed for a message deferred now. */
    private static final long DEFERRAL_MICROS = 2_000_000;

    /** Share of expiring messages above which a destination is overloaded. */
    private static final double OVERLOAD_EXPIRED_SHARE = 0.02;

    /** Minimum number of expirations within the decay window for a destination to be overloaded. */
    private static final double MIN_EXPIRATIONS = 3;

    /**
     * Exceeds the weight of any class: resumed messages without an attempt go first, as no other relay can deliver
     * them.
     */
    private static final double RESUMED_UNTRIED_BONUS = 1e9;

    private final RoundContext context;
    private final ResponseTimes responseTimes;

    MessageValue(RoundContext context, ResponseTimes responseTimes) {
        this.context = context;
        this.responseTimes = responseTimes;
    }

    /** Returns the value of delivering a message at a given time. */
    double valueAt(PendingMessage message, long deliveredAtMicros) {
        RequestClass requestClass = message.requestClass;
        long age = deliveredAtMicros - message.acceptedAtMicros;
        if (age <= requestClass.latencyObjectiveMicros()) {
            return requestClass.priorityWeight();
        }
        if (deliveredAtMicros >= message.deadlineMicros) {
            return 0;
        }
        double lateMicros = age - requestClass.latencyObjectiveMicros();
        double remainingShare = context.settings().halvingDecay()
                ? Math.max(
                        requestClass.lateWeight(),
                        Math.pow(0.5, lateMicros / Math.max(1, requestClass.latencyObjectiveMicros())))
                : 1
                        - (1 - requestClass.lateWeight())
                                * lateMicros
                                / (requestClass.deadlineMicros() - requestClass.latencyObjectiveMicros());
        return requestClass.priorityWeight() * remainingShare;
    }

    /**
     * Returns the value lost if other messages go first. At an overloaded destination a deferred message counts as lost
     * entirely, because sending the oldest first would deliver all of them late.
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
