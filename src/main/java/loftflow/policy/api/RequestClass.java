package loftflow.policy.api;

/** A class of request. {@code lateWorth} is the share of {@code worth} left at the deadline. */
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
    public RequestClass {
        Preconditions.require(
                latencyObjectiveMicros >= 0 && deadlineMicros > latencyObjectiveMicros,
                "goal and deadline of class " + name);
        Preconditions.require(keyWindowMicros >= 0, "keyWindow of class " + name);
    }
}
