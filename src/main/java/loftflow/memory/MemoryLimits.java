package loftflow.memory;

/**
 * The largest amounts of heap memory, in bytes, that peers can make a relay hold, by kind of peer. Together they are
 * nine sixteenths of the heap; the rest is for the relay itself and for garbage that has not been collected.
 *
 * @param clientRequestBytes requests that have been received in part, or wait for an earlier one on their connection
 * @param messageBytes messages that have been accepted and not yet ended
 * @param hostResponseBytes responses of hosts that have been received in part
 * @param revocableOutcomeBytes messages that have ended, while a later response may still contradict their outcome
 * @param endedMessageBytes the ids of messages that have ended
 */
public record MemoryLimits(
        long clientRequestBytes,
        long messageBytes,
        long hostResponseBytes,
        long revocableOutcomeBytes,
        long endedMessageBytes) {
    /** The parts of the heap are multiples of one in so many. */
    private static final int UNITS = 32;

    private static final int CLIENT_REQUEST_UNITS = 4;
    private static final int MESSAGE_UNITS = 8;
    private static final int HOST_RESPONSE_UNITS = 2;
    private static final int REVOCABLE_OUTCOME_UNITS = 2;
    private static final int ENDED_MESSAGE_UNITS = 2;

    /** Returns the limits of this process, from the largest heap that it may use. */
    public static MemoryLimits ofProcess() {
        return ofHeap(Runtime.getRuntime().maxMemory());
    }

    /** Returns the limits of a process with the given largest heap. */
    public static MemoryLimits ofHeap(long heapBytes) {
        long unitBytes = heapBytes / UNITS;
        return new MemoryLimits(
                CLIENT_REQUEST_UNITS * unitBytes,
                MESSAGE_UNITS * unitBytes,
                HOST_RESPONSE_UNITS * unitBytes,
                REVOCABLE_OUTCOME_UNITS * unitBytes,
                ENDED_MESSAGE_UNITS * unitBytes);
    }
}
