package loftflow.listener.amqp;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import loftflow.engine.Clock;
import loftflow.engine.Message;

/**
 * Reply queues: completions that wait for consumers, by queue name. A queue exists while it has completions or
 * consumers. For use on the event loop only.
 */
final class CompletionQueues {
    /** A consumer of a queue. */
    interface QueueListener {
        /** Returns true where the consumer can be sent one more completion now. */
        boolean canDeliver();

        /** Sends a completion, which is acknowledged or requeued later. */
        void deliver(Message message, boolean isRedelivered);
    }

    private record WaitingCompletion(Message message, boolean isRedelivered, long sinceMicros) {}

    private static final class Queue {
        private final ArrayDeque<WaitingCompletion> waiting = new ArrayDeque<>();
        private final Set<QueueListener> listeners = new LinkedHashSet<>();

        private boolean isUnused() {
            return waiting.isEmpty() && listeners.isEmpty();
        }
    }

    private final Clock clock;
    private final Map<String, Queue> queues = new HashMap<>();

    CompletionQueues(Clock clock) {
        this.clock = clock;
    }

    private Queue queue(String name) {
        return queues.computeIfAbsent(name, absent -> new Queue());
    }

    /** Adds a completion to its message's reply queue, and delivers what can be delivered. */
    void add(Message message) {
        Queue queue = queue(message.content().reply().queue());
        queue.waiting.add(new WaitingCompletion(message, false, clock.micros()));
        dispatch(queue);
    }

    /** Puts a completion that was not acknowledged at the head of its queue, to be redelivered. */
    void requeue(String name, Message message) {
        queue(name).waiting.addFirst(new WaitingCompletion(message, true, clock.micros()));
    }

    /** The number of completions that wait in a queue. */
    int size(String name) {
        return queues.containsKey(name) ? queues.get(name).waiting.size() : 0;
    }

    void addListener(String name, QueueListener listener) {
        queue(name).listeners.add(listener);
    }

    void removeListener(String name, QueueListener listener) {
        Queue queue = queues.get(name);
        if (queue != null) {
            queue.listeners.remove(listener);
            if (queue.isUnused()) {
                queues.remove(name);
            }
        }
    }

    /** Delivers the completions of a queue to its consumers in turn, as far as they can be delivered. */
    void dispatch(String name) {
        if (queues.containsKey(name)) {
            dispatch(queues.get(name));
        }
    }

    private static void dispatch(Queue queue) {
        boolean hasProgress = true;
        while (hasProgress && !queue.waiting.isEmpty()) {
            hasProgress = false;
            for (QueueListener listener : List.copyOf(queue.listeners)) {
                if (!queue.waiting.isEmpty() && listener.canDeliver()) {
                    WaitingCompletion next = queue.waiting.poll();
                    listener.deliver(next.message(), next.isRedelivered());
                    hasProgress = true;
                }
            }
        }
    }

    /** Removes completions that have waited for longer than a time, and passes each to a handler with its queue. */
    void expire(long maxWaitMicros, BiConsumer<String, Message> expiredHandler) {
        long nowMicros = clock.micros();
        Iterator<Map.Entry<String, Queue>> entries = queues.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Queue> entry = entries.next();
            ArrayDeque<WaitingCompletion> waiting = entry.getValue().waiting;
            while (!waiting.isEmpty() && nowMicros - waiting.peek().sinceMicros() > maxWaitMicros) {
                expiredHandler.accept(entry.getKey(), waiting.poll().message());
            }
            if (entry.getValue().isUnused()) {
                entries.remove();
            }
        }
    }
}
