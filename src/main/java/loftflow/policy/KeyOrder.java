package loftflow.policy;

import java.util.HashMap;
import java.util.Map;
import loftflow.policy.api.AttemptOutcome;

/**
 * Keeps messages with the same ordering key in order. They are sent one at a time in the order accepted: a message is
 * not sent while an earlier one is unsettled, and after an attempt of unknown outcome the key pauses for the time that
 * the service rules specify. Messages of unordered classes are never held back.
 */
final class KeyOrder {
    private final RoundContext context;
    private final Map<String, KeyQueue> queues = new HashMap<>();

    KeyOrder(RoundContext context) {
        this.context = context;
    }

    /** Appends a message to the queue of its key. */
    void add(PendingMessage message) {
        if (message.orderingKey != null) {
            queues.computeIfAbsent(message.orderingKey, key -> new KeyQueue())
                    .messages
                    .add(message);
        }
    }

    /** Returns whether the order of its key allows a message to be sent now; true if it has no key. */
    boolean isNextInOrder(PendingMessage message) {
        if (message.orderingKey == null) {
            return true;
        }
        KeyQueue queue = queues.get(message.orderingKey);
        return queue.messages.peek() == message
                && (!message.attempts.isEmpty() || queue.pausedUntilMicros <= context.now());
    }

    /** Pauses the key of a message if an attempt with this outcome may still take effect. */
    void pauseAfter(PendingMessage message, AttemptOutcome outcome) {
        boolean answered = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR;
        if (message.orderingKey != null && !answered && !outcome.isProvenNotExecuted()) {
            long pause = context.settings().rules().orderingPauseMicros();
            queues.get(message.orderingKey).pausedUntilMicros = context.now() + pause;
            context.actions().setTimer(WakeUpTimer.TIMER_ID, pause);
        }
    }

    /** Removes a finished message from the queue of its key. */
    void remove(PendingMessage message) {
        KeyQueue queue = message.orderingKey == null ? null : queues.get(message.orderingKey);
        if (queue != null) {
            queue.messages.remove(message);
            if (isObsolete(queue)) {
                queues.remove(message.orderingKey);
            }
        }
    }

    /** Removes the queues of keys that have neither messages nor a pause. */
    void removeObsoleteQueues() {
        queues.values().removeIf(this::isObsolete);
    }

    private boolean isObsolete(KeyQueue queue) {
        return queue.messages.isEmpty() && queue.pausedUntilMicros <= context.now();
    }
}
