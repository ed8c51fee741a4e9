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
 * The messages that this relay owes an answer, which of them wait to be sent, and which deadline is next. A message
 * waits, or has attempts in flight, or is finished; a finished one is forgotten once no attempt is in flight and its
 * completion is acknowledged. Holds no decision.
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
    /** Destinations with waiting messages: a round costs what these cost, however many are known. */
    private final Set<Destination> busyDestinations = new LinkedHashSet<>();

    private int openCount;

    PendingMessages(RoundContext context, EndpointRegistry endpoints, KeyOrder keyOrder) {
        this.context = context;
        this.endpoints = endpoints;
        this.keyOrder = keyOrder;
        context.settings().classes().forEach(type -> classes.put(type.name(), type));
    }

    /** Null where there is none, or it is forgotten. */
    PendingMessage find(long id) {
        return messages.get(id);
    }

    /** Messages that are owed an answer. */
    int openCount() {
        return openCount;
    }

    /**
     * Adds an accepted message, which waits to be sent.
     *
     * @throws IllegalArgumentException where the settings do not name its class
     */
    PendingMessage add(MessageAccepted event) {
        PendingMessage message = register(event);
        byDeadline.add(message);
        message.destination.arrivals.increment(context.now());
        openCount++;
        enqueue(message);
        return message;
    }

    /** Adds a message whose completion a restart has still to report: it only blocks later ones of its ordering key. */
    PendingMessage addFinished(MessageAccepted event) {
        PendingMessage message = register(event);
        message.isFinished = true;
        message.completionUnacknowledged = true;
        return message;
    }

    private PendingMessage register(MessageAccepted event) {
        RequestClass type = classes.get(event.requestClass());
        if (type == null) {
            throw new IllegalArgumentException("message " + event.id() + ": unknown request class "
                    + event.requestClass() + ", known are " + classes.keySet());
        }
        PendingMessage message = new PendingMessage(event, type, endpoints.destination(event.destination()));
        messages.put(message.id, message);
        keyOrder.add(message);
        return message;
    }

    /** Lets a message wait to be sent. */
    void enqueue(PendingMessage message) {
        message.destination.waitingMessages.add(message);
        busyDestinations.add(message.destination);
    }

    /** Takes a message out of those that wait. */
    void dequeue(PendingMessage message) {
        message.destination.waitingMessages.remove(message);
        if (message.destination.waitingMessages.isEmpty()) {
            busyDestinations.remove(message.destination);
        }
    }

    /** Nothing more is owed for a message. Later ones of its ordering key wait until its completion is acknowledged. */
    void finish(PendingMessage message) {
        message.isFinished = true;
        message.completionUnacknowledged =
                message.orderingKey != null && !context.actions().isCompletionAcknowledged(message.id);
        openCount--;
        dequeue(message);
        byDeadline.remove(message);
        forgetIfSettled(message);
    }

    void completionAcknowledged(PendingMessage message) {
        message.completionUnacknowledged = false;
        forgetIfSettled(message);
    }

    void forgetIfSettled(PendingMessage message) {
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

    /** The earliest deadline, in microseconds; {@link Long#MAX_VALUE} where no message is open. */
    long nextDeadlineMicros() {
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadlineMicros;
    }

    boolean hasWaitingMessages() {
        return !busyDestinations.isEmpty();
    }

    /** Destinations with waiting messages, in the order in which they began to wait; not to be changed meanwhile. */
    Set<Destination> busyDestinations() {
        return busyDestinations;
    }
}
