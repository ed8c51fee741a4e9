package loftflow.policy.api;

/**
 * A class of messages.
 *
 * @param keyScope which routes drop a repeat, for a class that is idempotent by key
 * @param keyWindowMicros how long they do
 * @param latencyObjectiveMicros a delivery within it earns the full weight
 * @param deadlineMicros after which a message is given up; above the latency objective
 * @param priorityWeight what a timely delivery earns
 * @param lateWeight share of the weight that is left at the deadline, 0 to 1
 * @param ordered messages with equal keys are sent one at a time, in the order accepted
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
        boolean ordered) {
    /**
     * Checks the class.
     *
     * @throws IllegalArgumentException where a duration is out of its bounds
     */
    public RequestClass {
        Preconditions.require(
                latencyObjectiveMicros >= 0 && deadlineMicros > latencyObjectiveMicros,
                "class " + name + ": the latency objective must not be negative and the deadline must be above it");
        Preconditions.require(keyWindowMicros >= 0, "class " + name + ": the key window must not be negative");
    }
}
