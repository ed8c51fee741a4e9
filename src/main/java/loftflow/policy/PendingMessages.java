package loftflow.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.RequestClass;

/**
 * Holds the messages that need a final answer, those that wait to be sent, and their deadlines. A message waits, has
 * attempts in flight, or is finished; a finished message is removed once no attempt is in flight and its completion is
 * acknowledged. Makes no decisions.
 */
final class PendingMessages {
    private final RoundContext context;
    private final EndpointRegistry endpoints;
    private final KeyOrder keyOrder;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<Long, PendingMessage> messages = new HashMap<>();
    private final TreeSet<PendingMessage> byDeadline =
            new TreeSet<>(Comparator.<PendingMessage>comparingLong(message -> message.deadlineMicros)
                    .thenComparingLong(message -> message.id));
    /**
     * Destinations with waiting messages; they determine the cost of a round, regardless of how many destinations are
     * known.
     */
    private final Set<Destination> busyDestinations = new LinkedHashSet<>();

    private int openCount;

    PendingMessages(RoundContext context, EndpointRegistry endpoints, KeyOrder keyOrder) {
        this.context = context;
        this.endpoints = endpoints;
        this.keyOrder = keyOrder;
        context.settings().classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
    }

    /** Returns the message with an id, or null if there is none or it was removed. */
    PendingMessage find(long id) {
        return messages.get(id);
    }

    /** Returns the number of messages without a final answer. */
    int openCount() {
        return openCount;
    }

    /**
     * Adds an accepted message and queues it for sending.
     *
     * @throws IllegalArgumentException if the settings do not define its class
     */
    PendingMessage add(MessageAccepted event) {
        PendingMessage message = register(event);
        byDeadline.add(message);
        message.destination.arrivals.increment(context.now());
        openCount++;
        enqueue(message);
        return message;
    }

    /**
     * Adds a message that finished before a restart and whose completion is not acknowledged. It only blocks later
     * messages of its ordering key.
     */
    PendingMessage addFinished(MessageAccepted event) {
        PendingMessage message = register(event);
        message.isFinished = true;
        message.completionUnacknowledged = true;
        return message;
    }

    private PendingMessage register(MessageAccepted event) {
        RequestClass requestClass = classes.get(event.requestClass());
        if (requestClass == null) {
            throw new IllegalArgumentException("message " + event.id() + ": unknown request class "
                    + event.requestClass() + ", known classes: " + classes.keySet());
        }
        PendingMessage message = new PendingMessage(event, requestClass, endpoints.destination(event.destination()));
        messages.put(message.id, message);
        keyOrder.add(message);
        return message;
    }

    /** Queues a message for sending. */
    void enqueue(PendingMessage message) {
        message.destination.waitingMessages.add(message);
        busyDestinations.add(message.destination);
    }

    /** Removes a message from those that wait to be sent. */
    void dequeue(PendingMessage message) {
        message.destination.waitingMessages.remove(message);
        if (message.destination.waitingMessages.isEmpty()) {
            busyDestinations.remove(message.destination);
        }
    }

    /** Marks a message as finished. Later messages of its ordering key wait until its completion is acknowledged. */
    void finish(PendingMessage message) {
        message.isFinished = true;
        message.completionUnacknowledged =
                message.orderingKey != null && !context.actions().isCompletionAcknowledged(message.id);
        openCount--;
        dequeue(message);
        byDeadline.remove(message);
        removeIfSettled(message);
    }

    void onCompletionAcknowledged(PendingMessage message) {
        message.completionUnacknowledged = false;
        removeIfSettled(message);
    }

    /** Removes a finished message once no attempt is in flight and its completion is acknowledged. */
    void removeIfSettled(PendingMessage message) {
        if (!message.isFinished || message.attemptsInFlight > 0 || message.completionUnacknowledged) {
            return;
        }
        messages.remove(message.id);
        keyOrder.remove(message);
    }

    /** Removes and returns the open message with the earliest deadline if that has passed; null otherwise. */
    PendingMessage pollExpired() {
        boolean expired = !byDeadline.isEmpty() && byDeadline.first().deadlineMicros <= context.now();
        return expired ? byDeadline.pollFirst() : null;
    }

    /** Returns the earliest deadline in microseconds, or {@link Long#MAX_VALUE} if no message is open. */
    long nextDeadlineMicros() {
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadlineMicros;
    }

    boolean hasWaitingMessages() {
        return !busyDestinations.isEmpty();
    }

    /**
     * Returns the destinations with waiting messages, in the order in which their messages began to wait. The set is
     * live: messages must not be queued or removed while it is iterated.
     */
    Set<Destination> busyDestinations() {
        return busyDestinations;
    }
}
