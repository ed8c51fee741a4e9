package loftflow.policy.api;

/**
 * A class of messages.
 *
 * @param keyScope routes that discard a repeat, for a class that is idempotent by key
 * @param keyWindowMicros how long they discard it
 * @param latencyObjectiveMicros a delivery within this time earns the full weight
 * @param deadlineMicros time after which a message is given up; above the latency objective
 * @param priorityWeight value of a delivery within the latency objective
 * @param lateWeight share of the weight that remains at the deadline, 0 to 1
 * @param ordered messages with equal keys are sent one at a time, in the order accepted
 * @param hedgedAttempts an attempt may be made while an earlier one is outstanding, if {@link
 *     RelayLimits#hedgedAttempts} allows it too; see {@link HedgingRule}
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        KeyScope keyScope,
        long keyWindowMicros,
        long latencyObjectiveMicros,
        long deadlineMicros,
        double priorityWeight,
        double lateWeight,
        boolean ordered,
        boolean hedgedAttempts) {
    /** Creates a class for which the limits of the relay alone decide about hedged attempts. */
    public RequestClass(
            String name,
            Idempotency idempotency,
            KeyScope keyScope,
            long keyWindowMicros,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double priorityWeight,
            double lateWeight,
            boolean ordered) {
        this(
                name,
                idempotency,
                keyScope,
                keyWindowMicros,
                latencyObjectiveMicros,
                deadlineMicros,
                priorityWeight,
                lateWeight,
                ordered,
                true);
    }

    /**
     * Validates the class.
     *
     * @throws IllegalArgumentException if a duration is out of bounds
     */
    public RequestClass {
        Preconditions.require(
                latencyObjectiveMicros >= 0 && deadlineMicros > latencyObjectiveMicros,
                "class " + name + ": the latency objective must not be negative and the deadline must be above it");
        Preconditions.require(keyWindowMicros >= 0, "class " + name + ": the key window must not be negative");
    }
}
