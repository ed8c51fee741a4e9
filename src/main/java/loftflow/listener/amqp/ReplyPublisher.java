package loftflow.listener.amqp;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Property;
import loftflow.amqp.confirm.PublisherConfirms;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.Message;
import loftflow.log.Log;

/**
 * Publishes completions to reply queues of a broker, on a channel in confirm mode. One without an ack is published
 * again, under the same id. For use on the event loop only.
 */
final class ReplyPublisher {
    private static final String DEFAULT_EXCHANGE = "";
    /** The pause before a completion without an ack is published again. */
    private static final long RETRY_PAUSE_MILLIS = 200;

    private final EventLoop loop;
    private final int channel;
    private final Consumer<Message> acknowledged;
    private final CompletionNotifier fallbackNotifier;
    /** Completions that are not published, oldest first. */
    private final ArrayDeque<Message> unpublished = new ArrayDeque<>();

    private PublisherConfirms<Message> confirms = new PublisherConfirms<>();
    /** Null while the channel is not ready. */
    private AmqpClientConnection connection;

    /**
     * Creates a publisher without a connection.
     *
     * @param channel the number of its channel
     * @param acknowledged receives each message whose completion the broker has acknowledged
     * @param fallbackNotifier receives completions whose reply queue does not exist
     */
    ReplyPublisher(EventLoop loop, int channel, Consumer<Message> acknowledged, CompletionNotifier fallbackNotifier) {
        this.loop = loop;
        this.channel = channel;
        this.acknowledged = acknowledged;
        this.fallbackNotifier = fallbackNotifier;
    }

    /** Adds a completion, which is published once the broker accepts publishes. */
    void add(Message message) {
        unpublished.add(message);
        publishPending();
    }

    /** The channel is in confirm mode. */
    void onReady(AmqpClientConnection newConnection) {
        connection = newConnection;
        publishPending();
    }

    /** Publishes as many completions as the broker and the socket accept. */
    void publishPending() {
        while (connection != null
                && connection.canPublish(channel)
                && !unpublished.isEmpty()
                && connection.isWritable()) {
            publish(unpublished.poll());
        }
    }

    private void publish(Message message) {
        long tag = confirms.publish(message);
        PublisherConfirms<Message> current = confirms;
        String queue = message.content().reply().queue();
        connection
                .send(
                        channel,
                        Method.of(MethodType.BASIC_PUBLISH, DEFAULT_EXCHANGE, queue, true, false),
                        ReplyBody.properties(message)
                                .with(
                                        Property.HEADERS,
                                        Map.<String, Object>of(PublisherConfirms.DELIVERY_TAG_HEADER, tag)),
                        ReplyBody.body(message))
                .addListener(done -> {
                    if (done.isSuccess()) {
                        current.written(tag);
                        publishPending();
                    }
                });
    }

    /** The broker has sent an ack or a nack. */
    void onConfirm(Method method) throws AmqpException {
        boolean isAck = method.type() == MethodType.BASIC_ACK;
        List<PublisherConfirms.Settled<Message>> settled =
                confirms.confirmed(method.number("delivery-tag"), method.flag("multiple"), isAck);
        if (settled == null) {
            throw new AmqpException(AmqpException.PRECONDITION_FAILED, method + " speaks of no publish that is open");
        }
        settled.forEach(this::settle);
    }

    /** The broker has returned a publish. */
    void onReturn(Command command) {
        Object tagHeader = command.properties().headers().get(PublisherConfirms.DELIVERY_TAG_HEADER);
        String replyId = command.properties().text(Property.MESSAGE_ID);
        confirms.returned(tagHeader, message -> ReplyBody.id(message).equals(replyId))
                .forEach(this::settle);
    }

    private void settle(PublisherConfirms.Settled<Message> settled) {
        Message message = settled.publish();
        switch (settled.outcome()) {
            case ACKED -> acknowledged.accept(message);
            case RETURNED -> {
                Log.line("amqp: reply queue not found queue="
                        + message.content().reply().queue() + " messageId="
                        + message.content().messageId());
                fallbackNotifier.notifyCompletion(message);
            }
            default -> {
                unpublished.add(message);
                loop.schedule(this::publishPending, RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** The connection is lost: nothing is published until {@link #onReady}. */
    void onDisconnected() {
        connection = null;
    }

    /** Settles the publishes of a lost connection; to be called after {@link #onDisconnected}. */
    void settleUnconfirmed() {
        PublisherConfirms<Message> last = confirms;
        confirms = new PublisherConfirms<>();
        last.closed(false).forEach(this::settle);
    }
}
