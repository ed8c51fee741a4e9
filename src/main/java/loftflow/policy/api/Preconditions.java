package loftflow.policy.api;

/** Checks of constructor arguments. */
final class Preconditions {
    private Preconditions() {}

    /**
     * Throws where a condition does not hold.
     *
     * @param message names the argument and says what is allowed
     * @throws IllegalArgumentException where {@code condition} is false
     */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
