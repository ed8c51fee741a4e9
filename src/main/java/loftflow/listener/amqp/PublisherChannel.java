package loftflow.listener.amqp;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.engine.Message;

/** One channel of a program: its state, and the completions that it consumes. */
final class PublisherChannel {
    /** The prefix of names that AMQP reserves for brokers. */
    private static final String RESERVED_PREFIX = "amq.";

    private static final String DEFAULT_EXCHANGE = "";

    /** A completion that was delivered and is not acknowledged. */
    private record Delivery(ReplyConsumer consumer, Message message) {}

    /** A consumer of a reply queue. */
    private final class ReplyConsumer implements CompletionQueues.QueueListener {
        private final String queue;
        private final String tag;
        private final boolean isAutoAcknowledge;

        ReplyConsumer(String queue, String tag, boolean isAutoAcknowledge) {
            this.queue = queue;
            this.tag = tag;
            this.isAutoAcknowledge = isAutoAcknowledge;
        }

        @Override
        public boolean canDeliver() {
            return isFlowActive && (isAutoAcknowledge || prefetch == 0 || unacknowledged.size() < prefetch);
        }

        @Override
        public void deliver(Message message, boolean isRedelivered) {
            long deliveryTag = ++lastDeliveryTag;
            if (!isAutoAcknowledge) {
                unacknowledged.put(deliveryTag, new Delivery(this, message));
            }
            session.connection()
                    .send(
                            number,
                            Method.of(
                                    MethodType.BASIC_DELIVER, tag, deliveryTag, isRedelivered, DEFAULT_EXCHANGE, queue),
                            ReplyBody.properties(message),
                            ReplyBody.body(message));
            if (isAutoAcknowledge) {
                listener.onAcknowledged(message);
            }
        }
    }

    private final PublisherSession session;
    private final AmqpListener listener;
    private final int number;
    private final Map<Long, PendingPublish> pendingPublishes = new HashMap<>();
    private final TreeMap<Long, Delivery> unacknowledged = new TreeMap<>();
    private final Map<String, ReplyConsumer> consumers = new HashMap<>();
    private boolean isInConfirmMode;
    private boolean isFlowActive = true;
    /** The largest number of unacknowledged deliveries; 0 for no limit. */
    private int prefetch;

    private long lastPublishTag;
    private long lastDeliveryTag;

    PublisherChannel(PublisherSession session, AmqpListener listener, int number) {
        this.session = session;
        this.listener = listener;
        this.number = number;
    }

    int number() {
        return number;
    }

    boolean isInConfirmMode() {
        return isInConfirmMode;
    }

    long nextPublishTag() {
        return ++lastPublishTag;
    }

    /** Publishes without an answer, by tag. */
    Map<Long, PendingPublish> pendingPublishes() {
        return pendingPublishes;
    }

    /** Answers a method, unless its client wants no answer. */
    void answer(Method request, Method answer) {
        if (!request.flag("no-wait")) {
            send(answer);
        }
    }

    void send(Method method) {
        session.connection().send(number, method);
    }

    void selectConfirms(Method request) {
        isInConfirmMode = true;
        answer(request, Method.of(MethodType.CONFIRM_SELECT_OK));
    }

    void setPrefetch(int newPrefetch) {
        prefetch = newPrefetch;
        send(Method.of(MethodType.BASIC_QOS_OK));
        dispatchAll();
    }

    void setFlow(boolean isActive) {
        isFlowActive = isActive;
        send(Method.of(MethodType.CHANNEL_FLOW_OK, isFlowActive));
        dispatchAll();
    }

    private void dispatchAll() {
        consumers.values().forEach(consumer -> listener.completionQueues().dispatch(consumer.queue));
    }

    /** Answers a declaration of a queue; an empty name requests a generated one. */
    void declareQueue(Method method) throws AmqpException {
        String requested = method.text("queue");
        String name = requested.isEmpty() ? generateQueueName() : checkQueueName(requested);
        long size = listener.completionQueues().size(name);
        answer(method, Method.of(MethodType.QUEUE_DECLARE_OK, name, size, 0L));
    }

    private String generateQueueName() {
        return "ends-" + listener.ids().get() + "-" + session.nextNameNumber();
    }

    private static String checkQueueName(String name) throws AmqpException {
        if (name.startsWith(RESERVED_PREFIX)) {
            throw new AmqpException(
                    AmqpException.ACCESS_REFUSED,
                    "ACCESS_REFUSED - names that begin with amq. are the" + " relay's own");
        }
        return name;
    }

    /** Adds a consumer of a reply queue. */
    void consume(Method method) throws AmqpException {
        String queue = checkQueueName(method.text("queue"));
        String requestedTag = method.text("consumer-tag");
        String tag = requestedTag.isEmpty() ? "consumer-" + session.nextNameNumber() : requestedTag;
        ReplyConsumer consumer = new ReplyConsumer(queue, tag, method.flag("no-ack"));
        if (consumers.putIfAbsent(tag, consumer) != null) {
            throw new AmqpException(AmqpException.NOT_ALLOWED, "NOT_ALLOWED - consumer tag '" + tag + "' is in use");
        }
        answer(method, Method.of(MethodType.BASIC_CONSUME_OK, tag));
        listener.completionQueues().addListener(queue, consumer);
        listener.completionQueues().dispatch(queue);
    }

    /** Removes a consumer, if there is one with the tag. */
    void cancel(Method method) {
        String tag = method.text("consumer-tag");
        ReplyConsumer cancelled = consumers.remove(tag);
        if (cancelled != null) {
            listener.completionQueues().removeListener(cancelled.queue, cancelled);
        }
        answer(method, Method.of(MethodType.BASIC_CANCEL_OK, tag));
    }

    /**
     * Settles one delivery, or all up to it.
     *
     * @param isAcknowledged whether the completions are done with; they are redelivered otherwise
     */
    void settle(Method method, boolean isMultiple, boolean isAcknowledged) throws AmqpException {
        long tag = method.number("delivery-tag");
        // Tag 0 with "multiple" means all.
        Map<Long, Delivery> settled = new TreeMap<>(
                isMultiple
                        ? unacknowledged.headMap(tag == 0 ? Long.MAX_VALUE : tag, true)
                        : unacknowledged.subMap(tag, true, tag, true));
        if (settled.isEmpty() && !(isMultiple && tag == 0)) {
            throw new AmqpException(
                    AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - unknown delivery tag " + tag);
        }
        // In descending order, as each is put at the head of its queue.
        List<Delivery> requeued = new ArrayList<>();
        settled.forEach((deliveryTag, delivery) -> {
            unacknowledged.remove(deliveryTag);
            if (isAcknowledged) {
                listener.onAcknowledged(delivery.message());
            } else {
                requeued.add(0, delivery);
            }
        });
        requeued.forEach(this::requeue);
        dispatchAll();
    }

    private void requeue(Delivery delivery) {
        listener.completionQueues().requeue(delivery.consumer().queue, delivery.message());
    }

    /** Removes its consumers and requeues unacknowledged completions, for consumers of other channels. */
    void close() {
        consumers.values().forEach(consumer -> listener.completionQueues().removeListener(consumer.queue, consumer));
        unacknowledged.descendingMap().values().forEach(this::requeue);
        unacknowledged.values().stream()
                .map(delivery -> delivery.consumer().queue)
                .distinct()
                .forEach(listener.completionQueues()::dispatch);
    }
}
