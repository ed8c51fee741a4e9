package loftflow.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The messages that this relay is responsible for, by journal number and by message id, and the number of open ones. A
 * message is open until its completion is decided; it stays in the table until it is done and its last attempt has
 * ended.
 */
final class MessageTable {
    /** The objects of a message with some attempts, beside its texts and its body. */
    private static final int MESSAGE_OVERHEAD_BYTES = 1 << 10;
    /** A body is held once more by a call, encoded, until the host has read it. */
    private static final int BYTES_PER_BODY_BYTE = 2;

    private final Map<Long, Message> byNumber = new LinkedHashMap<>();
    private final Map<String, Message> byMessageId = new HashMap<>();
    private final long maxBytes;
    private long heldBytes;
    private int openCount;

    /**
     * Creates a table without messages.
     *
     * @param maxBytes how much heap memory new messages may take together with those in the table
     */
    MessageTable(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a message, whatever memory it takes. */
    void add(Message message) {
        Message replaced = byNumber.put(message.number(), message);
        byMessageId.put(message.content().messageId(), message);
        heldBytes += bytes(message.content()) - (replaced == null ? 0 : bytes(replaced.content()));
    }

    /** Returns whether there is memory for a message with the given content. */
    boolean hasRoomFor(Message.Content content) {
        return heldBytes + bytes(content) <= maxBytes;
    }

    private static long bytes(Message.Content content) {
        int textChars = content.messageId().length() + length(content.key()) + length(content.orderingKey());
        return MESSAGE_OVERHEAD_BYTES + textChars + (long) BYTES_PER_BODY_BYTE * content.body().length;
    }

    private static int length(String text) {
        return text == null ? 0 : text.length();
    }

    /** Returns the message with this journal number, or null. */
    Message find(long number) {
        return byNumber.get(number);
    }

    /** Returns the message with this message id, or null. */
    Message findByMessageId(String messageId) {
        return byMessageId.get(messageId);
    }

    boolean contains(Message message) {
        return byNumber.get(message.number()) == message;
    }

    boolean isEmpty() {
        return byNumber.isEmpty();
    }

    /** Removes a message if it is done and has no attempt in flight. */
    void removeIfSettled(Message message) {
        if (message.isDone() && !message.hasAttemptsInFlight()) {
            if (byNumber.remove(message.number()) != null) {
                heldBytes -= bytes(message.content());
            }
            byMessageId.remove(message.content().messageId(), message);
        }
    }

    /** Returns how many messages count towards the limit of open messages. */
    int openCount() {
        return openCount;
    }

    void incrementOpenCount() {
        openCount++;
    }

    void decrementOpenCount() {
        openCount--;
    }
}
