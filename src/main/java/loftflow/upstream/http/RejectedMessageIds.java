package loftflow.upstream.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the messages that were rejected on a connection by a response that named them. If such a message is sent
 * again on the connection, a copy of that response names it too. Not thread-safe.
 */
final class RejectedMessageIds {
    private static final int MAX_IDS = 256;
    private static final int MAX_CHARS = 8 << 10;

    private final Set<String> ids = new LinkedHashSet<>();
    private int chars;

    boolean contains(String messageId) {
        return ids.contains(messageId);
    }

    /** Adds an id; of too many, the oldest is forgotten. */
    void add(String messageId) {
        if (ids.add(messageId)) {
            chars += messageId.length();
        }
        while (ids.size() > MAX_IDS || chars > MAX_CHARS) {
            String oldest = ids.iterator().next();
            ids.remove(oldest);
            chars -= oldest.length();
        }
    }
}
