package loftflow.upstream.http;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** The ids of the messages that one call may still execute, whatever outcomes their attempts have. Not thread-safe. */
final class OutstandingMessages {
    private final Set<String> ids;
    private final Consumer<String> onRemoved;

    /**
     * Creates the messages of a call that was not sent.
     *
     * @param onRemoved receives each id that is removed
     */
    OutstandingMessages(Set<String> ids, Consumer<String> onRemoved) {
        this.ids = new HashSet<>(ids);
        this.onRemoved = onRemoved;
    }

    boolean contains(String messageId) {
        return ids.contains(messageId);
    }

    /** Returns a copy of the ids. */
    Set<String> ids() {
        return Set.copyOf(ids);
    }

    /** Removes a message, because it is taken out of a call that was not sent; has no effect if it is not there. */
    void remove(String messageId) {
        if (ids.remove(messageId)) {
            onRemoved.accept(messageId);
        }
    }

    /** Removes all messages, because the call has been answered or its connection has ended. */
    void clear() {
        ids().forEach(this::remove);
    }
}
