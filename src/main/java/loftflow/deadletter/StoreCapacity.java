package loftflow.deadletter;

import java.util.HashSet;
import java.util.Set;
import loftflow.engine.Message;
import loftflow.log.Log;

/**
 * Tracks whether the store is full and decides which messages to reject or drop. The store counts as full from the high
 * watermark until its size falls below the low watermark. Depending on the settings, a full store causes new messages
 * of failing classes to be rejected, or undelivered messages to be lost.
 */
final class StoreCapacity {
    private final DeadLetterService.Options options;
    /** Classes that had a message stored since the store was last found not full. */
    private final Set<String> failingClasses = new HashSet<>();

    private boolean isFull;
    private long lostCount;

    StoreCapacity(DeadLetterService.Options options) {
        this.options = options;
    }

    /** Returns true if an undelivered message may be stored; otherwise counts and logs it as lost. */
    boolean accepts(Message message) {
        if (!isFull || options.refuseWhenFull()) {
            return true;
        }
        lostCount++;
        Log.line("deadletter: message lost message=" + message.content().messageId() + " reason=store-full lost="
                + lostCount);
        return false;
    }

    /** Returns true if new messages of a class are rejected. */
    boolean rejects(String requestClass) {
        return isFull && options.refuseWhenFull() && failingClasses.contains(requestClass);
    }

    /** Records that an undelivered message of a class is being stored. */
    void onFailure(String requestClass) {
        failingClasses.add(requestClass);
    }

    /** Updates the state with the current size of the store and logs a change. */
    void update(DeadLetterStore.Size size) {
        boolean wasFull = isFull;
        if (size.bytes() >= options.highWatermarkBytes() || size.entries() >= options.maxEntries()) {
            isFull = true;
        } else if (size.bytes() < options.lowWatermarkBytes() && size.entries() < options.maxEntries()) {
            isFull = false;
            failingClasses.clear();
        }
        if (isFull != wasFull) {
            Log.line("deadletter: store " + (isFull ? "full" : "no longer full") + " entries=" + size.entries()
                    + " bytes=" + size.bytes());
        }
    }

    /** Returns the number of messages lost since the start because the store was full. */
    long lostCount() {
        return lostCount;
    }
}
