package loftflow.listener.amqp;

import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.engine.Message;

/** A publish that awaits its answer. */
final class PendingPublish implements Message.ClientReply {
    private final PublishHandler handler;
    private final PublisherChannel channel;
    private final long tag;
    /** The id for deduplication; null for a publish without an id of its own. */
    private final String messageId;
    /** The submitted message; null before its submission and after its answer. */
    private Message message;

    PendingPublish(PublishHandler handler, PublisherChannel channel, long tag, String messageId) {
        this.handler = handler;
        this.channel = channel;
        this.tag = tag;
        this.messageId = messageId;
    }

    PublisherChannel channel() {
        return channel;
    }

    long tag() {
        return tag;
    }

    void setMessage(Message newMessage) {
        message = newMessage;
    }

    /** Returns and forgets the message that awaits its answer; null where there is none. */
    Message releaseMessage() {
        Message released = message;
        message = null;
        return released;
    }

    @Override
    public void accepted() {
        // The id is stored before the ack is sent, so that a repeat after a lost ack is recognized.
        if (messageId != null) {
            handler.remember(messageId);
        }
        answer(Method.of(MethodType.BASIC_ACK, tag, false));
    }

    @Override
    public void rejected(long retryAfterMicros) {
        answer(Method.of(MethodType.BASIC_NACK, tag, false, false));
    }

    @Override
    public void failed() {
        answer(Method.of(MethodType.BASIC_NACK, tag, false, false));
    }

    private void answer(Method method) {
        message = null;
        handler.answer(this, method);
    }
}
