package loftflow.engine;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Remembers messages that have ended, so that a request which repeats an id is not accepted as a new message: its id
 * must not be sent after its end. The number of messages and the time are bounded, and a restart forgets all of them.
 * Times are in microseconds. Not thread-safe.
 */
final class EndedMessages {
    /** Longer than a message of any request class of the platform lives. */
    private static final long RETENTION_MICROS = 60_000_000;
    /** Some 2 MB of memory. */
    private static final int MAX_MESSAGES = 16_384;

    /** A message that has ended. */
    private record Ended(int contentHash, boolean isDelivered, long endedAtMicros) {}

    private final Map<String, Ended> byMessageId = new LinkedHashMap<>();

    /** Adds a message that was accepted and has ended. */
    void add(Message.Content content, boolean isDelivered, long nowMicros) {
        byMessageId.remove(content.messageId());
        byMessageId.put(content.messageId(), new Ended(contentHash(content), isDelivered, nowMicros));
        removeOld(nowMicros);
    }

    private void removeOld(long nowMicros) {
        Iterator<Ended> oldestFirst = byMessageId.values().iterator();
        while (oldestFirst.hasNext()) {
            boolean isExpired = nowMicros - oldestFirst.next().endedAtMicros() > RETENTION_MICROS;
            if (!isExpired && byMessageId.size() <= MAX_MESSAGES) {
                return;
            }
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
