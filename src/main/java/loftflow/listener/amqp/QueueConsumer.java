package loftflow.listener.amqp;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.amqp.link.AmqpConnection;
import loftflow.amqp.mapping.GeneratedIds;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.deduplication.Deduplicator;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.Listener;
import loftflow.log.Log;
import loftflow.protocol.ClientProtocol;

/**
 * Consumes a queue of a broker. A delivery is acknowledged once its message is accepted, requeued where it is rejected
 * for now, and rejected for good where it can never be accepted. Completions are published to reply queues of the same
 * broker. For use on the event loop only.
 */
public final class QueueConsumer implements Listener, CompletionReplier, AmqpClientConnection.Listener {
    /** For which messages completions are published. */
    public enum ReplyMode {
        /** For messages with a reply queue. */
        ON_REQUEST("asked"),
        /** Also for messages without one, to the reply queue of the settings. */
        ALWAYS("always"),
        /** For none. */
        NEVER("never");

        private final String setting;

        ReplyMode(String setting) {
            this.setting = setting;
        }

        /**
         * The constant for the value of a setting, in lower case.
         *
         * @throws IllegalArgumentException where the value is unknown
         */
        public static ReplyMode ofSetting(String value) {
            for (ReplyMode mode : values()) {
                if (mode.setting.equals(value)) {
                    return mode;
                }
            }
            throw new IllegalArgumentException(
                    "unknown reply mode \"" + value + "\"; allowed are asked, always and never");
        }
    }

    /**
     * The settings of a consumer.
     *
     * @param name the name of this consumer in the journal
     * @param prefetch the largest number of unacknowledged deliveries
     * @param isAutoAcknowledge whether the broker forgets what it delivers, so that rejected messages are lost
     * @param replyQueue the reply queue of messages that name none; null where their completions are not published
     * @param connectTimeoutMicros the time for a connection to complete its AMQP handshake
     */
    public record Options(
            String name,
            AmqpClientConnection.Broker broker,
            String queue,
            int prefetch,
            boolean isAutoAcknowledge,
            ReplyMode replyMode,
            String replyQueue,
            long connectTimeoutMicros) {}

    private static final int CONSUMER_CHANNEL = 1;
    private static final int REPLY_CHANNEL = 2;
    private static final String CONSUMER_TAG = "relay";
    private static final long MIN_RECONNECT_PAUSE_MILLIS = 100;
    private static final long MAX_RECONNECT_PAUSE_MILLIS = 10_000;
    /** The shortest time before a rejected delivery is requeued; the broker redelivers it at once. */
    private static final long MIN_REQUEUE_DELAY_MILLIS = 200;

    private static final long MAX_REQUEUE_DELAY_MILLIS = 5_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** A delivery that awaits its answer, which goes to the connection that it came from and no other. */
    private final class Delivery implements Message.ClientReply {
        private final AmqpClientConnection origin;
        private final long tag;
        private final String messageId;
        private final boolean isAnonymous;
        /** The submitted message; null before its submission and after its answer. */
        private Message message;

        Delivery(AmqpClientConnection origin, long tag, MessageMapping.Accepted mapped) {
            this.origin = origin;
            this.tag = tag;
            messageId = mapped.content().messageId();
            isAnonymous = mapped.anonymous();
        }

        @Override
        public void accepted() {
            // The id is stored before the ack is sent, so that a redelivery after a lost ack is recognized.
            if (!isAnonymous) {
                deduplicator.add(messageId);
            }
            answer(Method.of(MethodType.BASIC_ACK, tag, false));
        }

        @Override
        public void rejected(long retryAfterMicros) {
            message = null;
            long delayMillis = Math.max(
                    MIN_REQUEUE_DELAY_MILLIS, Math.min(MAX_REQUEUE_DELAY_MILLIS, retryAfterMicros / MICROS_PER_MILLI));
            loop.schedule(
                    () -> answer(Method.of(MethodType.BASIC_REJECT, tag, true)), delayMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void failed() {
            answer(Method.of(MethodType.BASIC_REJECT, tag, false));
        }

        private void answer(Method method) {
            message = null;
            deliveries.remove(this);
            if (options.isAutoAcknowledge()) {
                if (method.type() != MethodType.BASIC_ACK) {
                    Log.line("amqp: rejected message lost messageId=" + messageId + " queue=" + options.queue());
                }
            } else if (origin == connection && origin.isOpen()) {
                // On another connection, the tag would name another message.
                origin.send(CONSUMER_CHANNEL, method);
            }
        }

        private Message releaseMessage() {
            Message released = message;
            message = null;
            return released;
        }
    }

    private final EventLoop loop;
    private final MessageAcceptor messageAcceptor;
    private final Clock clock;
    private final EventLoopLag eventLoopLag;
    private final MessageMapping mapping;
    private final Deduplicator deduplicator;
    private final Options options;
    private final GeneratedIds ids;
    private final ReplyPublisher replyPublisher;
    private final Set<Delivery> deliveries = new HashSet<>();

    /** Null while there is no connection. */
    private AmqpClientConnection connection;

    private boolean isDraining;
    private boolean isStopped;
    private long reconnectPauseMillis = MIN_RECONNECT_PAUSE_MILLIS;

    /**
     * Creates a consumer, which {@link #start} connects.
     *
     * @param acknowledged receives each message whose completion the broker has acknowledged
     * @param fallbackNotifier receives completions whose reply queue does not exist
     */
    public QueueConsumer(
            EventLoop loop,
            MessageAcceptor messageAcceptor,
            Clock clock,
            EventLoopLag eventLoopLag,
            MessageMapping mapping,
            Deduplicator deduplicator,
            Options options,
            Consumer<Message> acknowledged,
            CompletionNotifier fallbackNotifier) {
        this.loop = loop;
        this.messageAcceptor = messageAcceptor;
        this.clock = clock;
        this.eventLoopLag = eventLoopLag;
        this.mapping = mapping;
        this.deduplicator = deduplicator;
        this.options = options;
        ids = new GeneratedIds(options.name(), clock.micros());
        replyPublisher = new ReplyPublisher(loop, REPLY_CHANNEL, acknowledged, fallbackNotifier);
    }

    /** Connects, and reconnects with exponential back-off until {@link #stopListening}. */
    public void start() {
        if (isStopped) {
            return;
        }
        connection = AmqpClientConnection.connect(
                loop, options.broker(), ClientProtocol.MAX_BODY_BYTES, options.connectTimeoutMicros(), this);
    }

    @Override
    public void onOpened() {
        connection.openChannel(CONSUMER_CHANNEL);
        if (options.replyMode() != ReplyMode.NEVER) {
            connection.openChannel(REPLY_CHANNEL);
        }
    }

    @Override
    public void onCommand(Command command) throws AmqpException {
        Method method = command.method();
        switch (method.type()) {
            case CHANNEL_OPEN_OK -> onChannelOpened(command.channel());
            case BASIC_QOS_OK -> consume();
            case BASIC_CONSUME_OK -> onConsuming();
            case CONFIRM_SELECT_OK -> replyPublisher.onReady(connection);
            case BASIC_DELIVER -> onDelivery(command);
            case BASIC_ACK, BASIC_NACK -> replyPublisher.onConfirm(method);
            case BASIC_RETURN -> replyPublisher.onReturn(command);
            case BASIC_CANCEL_OK -> {}
            case BASIC_CANCEL -> connection.closeGracefully(AmqpConnection.REPLY_SUCCESS, "the queue is gone");
            case CHANNEL_CLOSE -> onChannelClosed(command.channel(), method);
            default -> throw new AmqpException(AmqpException.COMMAND_INVALID, method.type() + " was not asked for");
        }
    }

    private void onChannelOpened(int channel) {
        Method next = channel == CONSUMER_CHANNEL
                ? Method.of(MethodType.BASIC_QOS, 0L, options.prefetch(), false)
                : Method.of(MethodType.CONFIRM_SELECT, false);
        connection.send(channel, next);
    }

    private void consume() {
        Method method = Method.of(
                MethodType.BASIC_CONSUME,
                options.queue(),
                CONSUMER_TAG,
                false,
                options.isAutoAcknowledge(),
                false,
                false,
                Map.of());
        connection.send(CONSUMER_CHANNEL, method);
    }

    private void onConsuming() {
        connection.cancelOpenTimeout();
        reconnectPauseMillis = MIN_RECONNECT_PAUSE_MILLIS;
        Log.line("amqp: consuming queue=" + options.queue() + " broker="
                + options.broker().address());
    }

    private void onChannelClosed(int channel, Method method) {
        Log.line("amqp: channel closed by the broker queue=" + options.queue() + " channel=" + channel + " code="
                + method.number("reply-code") + " reason=" + method.text("reply-text"));
        connection.send(channel, Method.of(MethodType.CHANNEL_CLOSE_OK));
        connection.closeGracefully(AmqpConnection.REPLY_SUCCESS, "a channel was closed");
    }

    // ---- inbound messages

    private void onDelivery(Command command) {
        long tag = command.method().number("delivery-tag");
        MessageMapping.Result mapped = map(command);
        if (mapped instanceof MessageMapping.Rejected rejected) {
            rejectForGood(tag, rejected.reason());
            return;
        }
        MessageMapping.Accepted accepted = (MessageMapping.Accepted) mapped;
        Message.Content content = accepted.content();
        if (deduplicator.contains(content.messageId())) {
            // A redelivery of an accepted message whose ack was lost; its completion is owed once.
            answer(Method.of(MethodType.BASIC_ACK, tag, false));
        } else if (!messageAcceptor.recognizes(content)) {
            rejectForGood(tag, "its destination or tenant is not known, or its class needs a key");
        } else if (content.deadlineMicros() <= clock.micros()) {
            rejectForGood(tag, "its time is over");
        } else {
            submit(tag, accepted);
        }
    }

    private MessageMapping.Result map(Command command) {
        if (command.isSkipped()) {
            return new MessageMapping.Rejected(command.bodySize() + " bytes are more than is taken");
        }
        Method method = command.method();
        Properties properties = command.properties();
        return mapping.map(
                properties,
                method.text("exchange"),
                method.text("routing-key"),
                command.body(),
                eventLoopLag.unreadSinceMicros(),
                ids,
                reply(properties));
    }

    private Message.Reply reply(Properties properties) {
        String queue = replyQueue(properties.text(Property.REPLY_TO));
        return queue == null
                ? null
                : new Message.Reply(options.name(), queue, properties.text(Property.CORRELATION_ID));
    }

    private String replyQueue(String requestedQueue) {
        return switch (options.replyMode()) {
            case NEVER -> null;
            case ON_REQUEST -> requestedQueue;
            case ALWAYS -> requestedQueue != null ? requestedQueue : options.replyQueue();
        };
    }

    private void submit(long tag, MessageMapping.Accepted mapped) {
        Delivery delivery = new Delivery(connection, tag, mapped);
        deliveries.add(delivery);
        if (isDraining || !mapped.anonymous() && !deduplicator.hasCapacity()) {
            delivery.rejected(0);
        } else {
            // The result is null where the delivery has been answered already.
            delivery.message = messageAcceptor.accept(mapped.content(), eventLoopLag.unreadSinceMicros(), delivery);
        }
    }

    private void rejectForGood(long tag, String reason) {
        Log.line("amqp: message rejected queue=" + options.queue() + " reason=" + reason);
        answer(Method.of(MethodType.BASIC_REJECT, tag, false));
    }

    private void answer(Method method) {
        if (!options.isAutoAcknowledge()) {
            connection.send(CONSUMER_CHANNEL, method);
        }
    }

    // ---- completions

    @Override
    public void reply(Message message) {
        replyPublisher.add(message);
    }

    /** The broker blocks publishers, or accepts them again. */
    @Override
    public void onPublishingChanged(String why) {
        replyPublisher.publishPending();
    }

    // ---- the end of the connection, and shutdown

    @Override
    public void onClosed(String reason) {
        if (!isStopped) {
            Log.line("amqp: connection closed queue=" + options.queue() + " broker="
                    + options.broker().address() + " reason=" + reason);
        }
        connection = null;
        replyPublisher.onDisconnected();
        withdrawAll();
        replyPublisher.settleUnconfirmed();
        if (!isStopped) {
            loop.schedule(this::start, reconnectPauseMillis, TimeUnit.MILLISECONDS);
            reconnectPauseMillis = Math.min(MAX_RECONNECT_PAUSE_MILLIS, reconnectPauseMillis * 2);
        }
    }

    /** Withdraws unanswered messages, which the broker redelivers. */
    private void withdrawAll() {
        for (Delivery delivery : List.copyOf(deliveries)) {
            Message message = delivery.releaseMessage();
            deliveries.remove(delivery);
            if (message != null) {
                messageAcceptor.withdraw(message);
            }
        }
    }

    @Override
    public void drain() {
        isDraining = true;
        if (connection != null && connection.isOpen()) {
            connection.send(CONSUMER_CHANNEL, Method.of(MethodType.BASIC_CANCEL, CONSUMER_TAG, false));
        }
    }

    @Override
    public boolean isIdle() {
        return deliveries.isEmpty();
    }

    @Override
    public boolean hasRequestInProgress() {
        return deliveries.stream().anyMatch(delivery -> delivery.message != null);
    }

    @Override
    public void stopListening() {
        isStopped = true;
        if (connection != null) {
            connection.closeGracefully(AmqpConnection.REPLY_SUCCESS, "the relay ends");
        }
    }
}
