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
    private final Map<Long, Message> byNumber = new LinkedHashMap<>();
    private final Map<String, Message> byMessageId = new HashMap<>();
    private int openCount;

    void add(Message message) {
        byNumber.put(message.number(), message);
        byMessageId.put(message.content().messageId(), message);
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
            byNumber.remove(message.number());
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
