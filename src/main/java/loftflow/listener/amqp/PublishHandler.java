package loftflow.listener.amqp;

import java.util.List;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.engine.Message;
import loftflow.log.Log;

/**
 * The publishes of one program: maps them to messages, submits these and answers each with an ack or a nack. Reading
 * pauses while many publishes are unanswered.
 */
final class PublishHandler {
    /** The number of unanswered publishes at which reading pauses; it resumes at half of that. */
    private static final int MAX_UNANSWERED_PUBLISHES = 256;

    private static final int MAX_REPLY_TEXT_CHARS = 200;

    private final PublisherSession session;
    private final AmqpListener listener;
    private final AmqpListener.Context context;
    private int unanswered;
    private boolean isReadPaused;

    PublishHandler(PublisherSession session, AmqpListener listener, AmqpListener.Context context) {
        this.session = session;
        this.listener = listener;
        this.context = context;
    }

    boolean hasUnanswered() {
        return unanswered > 0;
    }

    /** Stores the id of an accepted message for deduplication. */
    void remember(String messageId) {
        context.deduplicator().add(messageId);
    }

    /** Answers a publish, unless its channel is closed meanwhile. */
    void answer(PendingPublish publish, Method method) {
        PublisherChannel channel = publish.channel();
        unanswered--;
        channel.pendingPublishes().remove(publish.tag());
        if (session.isOpen(channel)) {
            channel.send(method);
        }
        if (isReadPaused && unanswered <= MAX_UNANSWERED_PUBLISHES / 2) {
            isReadPaused = false;
            session.connection().setAutoRead(true);
        }
    }

    /** Withdraws the unanswered messages of a channel that has closed, as its program may publish them again. */
    void withdraw(PublisherChannel channel) {
        for (PendingPublish publish : List.copyOf(channel.pendingPublishes().values())) {
            Message message = publish.releaseMessage();
            if (message != null) {
                unanswered--;
                context.messageAcceptor().withdraw(message);
            }
        }
    }

    /** Checks that an exchange is the listener's own or the default exchange. */
    void checkExchange(String exchange) throws AmqpException {
        String ownExchange = context.options().exchange();
        if (!exchange.isEmpty() && !exchange.equals(ownExchange)) {
            throw new AmqpException(
                    AmqpException.NOT_FOUND,
                    "NOT_FOUND - no exchange '" + exchange + "': this relay has '" + ownExchange
                            + "' and the nameless one");
        }
    }

    /** Handles a publish, which is answered at once or later. */
    void publish(PublisherChannel channel, Command command) throws AmqpException {
        if (!channel.isInConfirmMode()) {
            throw new AmqpException(
                    AmqpException.PRECONDITION_FAILED,
                    "PRECONDITION_FAILED - a relay takes messages on"
                            + " channels in confirm mode alone, since its refusals would be lost on others");
        }
        checkExchange(command.method().text("exchange"));
        long tag = channel.nextPublishTag();
        if (command.isSkipped()) {
            refuse(
                    channel,
                    tag,
                    command,
                    AmqpException.CONTENT_TOO_LARGE,
                    "CONTENT_TOO_LARGE - " + command.bodySize()
                            + " bytes are more than is taken, or more than there is room for now");
            return;
        }
        MessageMapping.Result mapped = map(command);
        if (mapped instanceof MessageMapping.Rejected rejected) {
            String reason = "PRECONDITION_FAILED - " + rejected.reason();
            refuse(channel, tag, command, AmqpException.PRECONDITION_FAILED, reason);
        } else {
            submit(channel, tag, command, (MessageMapping.Accepted) mapped);
        }
    }

    private MessageMapping.Result map(Command command) {
        Method method = command.method();
        Properties properties = command.properties();
        String replyTo = properties.text(Property.REPLY_TO);
        Message.Reply reply = replyTo == null
                ? null
                : new Message.Reply(context.options().name(), replyTo, properties.text(Property.CORRELATION_ID));
        return context.mapping()
                .map(
                        properties,
                        method.text("exchange"),
                        method.text("routing-key"),
                        command.body(),
                        context.eventLoopLag().unreadSinceMicros(),
                        listener.ids(),
                        reply);
    }

    private void submit(PublisherChannel channel, long tag, Command command, MessageMapping.Accepted mapped) {
        Message.Content content = mapped.content();
        if (!context.messageAcceptor().hasDestination(content.destination())) {
            refuse(channel, tag, command, AmqpException.NO_ROUTE, "NO_ROUTE");
        } else if (!context.messageAcceptor().recognizes(content)) {
            String reason = "PRECONDITION_FAILED - its tenant is not known, or its class needs a key";
            refuse(channel, tag, command, AmqpException.PRECONDITION_FAILED, reason);
        } else if (context.deduplicator().contains(content.messageId())) {
            // A repeat of an accepted message, whose completion is owed once.
            channel.send(Method.of(MethodType.BASIC_ACK, tag, false));
        } else if (!mapped.anonymous() && !context.deduplicator().hasCapacity() || listener.isDraining()) {
            channel.send(Method.of(MethodType.BASIC_NACK, tag, false, false));
        } else {
            accept(channel, tag, mapped);
        }
    }

    private void accept(PublisherChannel channel, long tag, MessageMapping.Accepted mapped) {
        Message.Content content = mapped.content();
        String messageId = mapped.anonymous() ? null : content.messageId();
        PendingPublish publish = new PendingPublish(this, channel, tag, messageId);
        channel.pendingPublishes().put(tag, publish);
        unanswered++;
        // The result is null where the publish has been answered already.
        publish.setMessage(
                context.messageAcceptor().accept(content, context.eventLoopLag().unreadSinceMicros(), publish));
        if (unanswered >= MAX_UNANSWERED_PUBLISHES && !isReadPaused) {
            isReadPaused = true;
            session.connection().setAutoRead(false);
        }
    }

    /** Refuses a publish: returns it with the reason where it is mandatory, and sends a nack. */
    private void refuse(PublisherChannel channel, long tag, Command command, int code, String reason) {
        Method method = command.method();
        if (method.flag("mandatory") && command.body() != null) {
            String replyText =
                    reason.length() > MAX_REPLY_TEXT_CHARS ? reason.substring(0, MAX_REPLY_TEXT_CHARS) : reason;
            session.connection()
                    .send(
                            channel.number(),
                            Method.of(
                                    MethodType.BASIC_RETURN,
                                    code,
                                    replyText,
                                    method.text("exchange"),
                                    method.text("routing-key")),
                            command.properties(),
                            command.body());
        } else {
            Log.line("amqp: publish refused reason=" + reason);
        }
        channel.send(Method.of(MethodType.BASIC_NACK, tag, false, false));
    }
}
