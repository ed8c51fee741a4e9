package loftflow.policy.api;

/** Validation of constructor arguments. */
final class Preconditions {
    private Preconditions() {}

    /**
     * Throws an exception if a condition does not hold.
     *
     * @param message names the argument and its permitted values
     * @throws IllegalArgumentException if {@code condition} is false
     */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
