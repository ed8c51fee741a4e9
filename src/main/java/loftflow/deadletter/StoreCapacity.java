package loftflow.deadletter;

import java.util.HashSet;
import java.util.Set;
import loftflow.engine.Message;
import loftflow.log.Log;

/**
 * Decides what happens when the store is full: it counts as full from the high watermark until it is below the low one.
 * Depending on the settings, new messages of classes that have failed meanwhile are refused, or messages are lost.
 */
final class StoreCapacity {
    private final DeadLetterService.Options options;
    /** Classes of which a message was stored since the store was last found not to be full. */
    private final Set<String> failingClasses = new HashSet<>();

    private boolean isFull;
    private long lostCount;

    StoreCapacity(DeadLetterService.Options options) {
        this.options = options;
    }

    /** True where an undelivered message is stored; otherwise it is counted and logged as lost. */
    boolean accepts(Message message) {
        if (!isFull || options.refuseWhenFull()) {
            return true;
        }
        lostCount++;
        Log.line("deadletter: message lost message=" + message.content().messageId() + " reason=store-full lost="
                + lostCount);
        return false;
    }

    /** True where new messages of a class are refused. */
    boolean rejects(String requestClass) {
        return isFull && options.refuseWhenFull() && failingClasses.contains(requestClass);
    }

    /** A message of a class is being stored. */
    void onFailure(String requestClass) {
        failingClasses.add(requestClass);
    }

    /** Takes the current size of the store. */
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

    /** Number of messages that could not be stored since the start. */
    long lostCount() {
        return lostCount;
    }
}
