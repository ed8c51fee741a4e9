package loftflow.engine;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Remembers messages that have ended, so that a request which repeats an id is not accepted as a new message: its id
 * must not be sent after its end. Their number, memory and time are bounded, and a restart forgets all of them.
 * Times are in microseconds. Not thread-safe.
 */
final class EndedMessages {
    /** Longer than a message of any request class of the platform lives. */
    private static final long RETENTION_MICROS = 60_000_000;

    private static final int MAX_MESSAGES = 16_384;
    /** The objects of a message beside the characters of its id. */
    private static final int MESSAGE_OVERHEAD_BYTES = 160;

    /** A message that has ended. */
    private record Ended(int contentHash, boolean isDelivered, long endedAtMicros) {}

    private final Map<String, Ended> byMessageId = new LinkedHashMap<>();
    private final long maxBytes;
    private long heldBytes;

    /**
     * Creates a memory without messages.
     *
     * @param maxBytes how much heap memory it may take; beyond that the oldest messages are forgotten
     */
    EndedMessages(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a message that was accepted and has ended. */
    void add(Message.Content content, boolean isDelivered, long nowMicros) {
        String messageId = content.messageId();
        if (byMessageId.remove(messageId) == null) {
            heldBytes += bytes(messageId);
        }
        byMessageId.put(messageId, new Ended(contentHash(content), isDelivered, nowMicros));
        removeOld(nowMicros);
    }

    private static long bytes(String messageId) {
        return MESSAGE_OVERHEAD_BYTES + messageId.length();
    }

    private void removeOld(long nowMicros) {
        Iterator<Map.Entry<String, Ended>> oldestFirst = byMessageId.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Ended> oldest = oldestFirst.next();
            boolean isExpired = nowMicros - oldest.getValue().endedAtMicros() > RETENTION_MICROS;
            if (!isExpired && byMessageId.size() <= MAX_MESSAGES && heldBytes <= maxBytes) {
                return;
            }
            heldBytes -= bytes(oldest.getKey());
            oldestFirst.remove();
        }
    }

    /** Returns whether a message with this id has ended and is remembered. */
    boolean contains(String messageId, long nowMicros) {
        Ended ended = byMessageId.get(messageId);
        return ended != null && nowMicros - ended.endedAtMicros() <= RETENTION_MICROS;
    }

    /** Returns whether a message with the same id and content has been delivered. */
    boolean isDelivered(Message.Content content) {
        Ended ended = byMessageId.get(content.messageId());
        return ended != null && ended.isDelivered() && ended.contentHash() == contentHash(content);
    }

    private static int contentHash(Message.Content content) {
        return Objects.hash(
                content.requestClass(),
                content.tenant(),
                content.key(),
                content.destination(),
                Arrays.hashCode(content.body()));
    }
}
