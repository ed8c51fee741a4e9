package loftflow.listener.amqp;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
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
import loftflow.amqp.confirm.PublisherConfirms;
import loftflow.amqp.link.AmqpClientConnection;
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

/**
 * Takes messages from a queue of a broker: each is acknowledged once it is taken on, goes back to the queue where it is
 * refused, and is rejected for good where it can never be taken on. Ends are published to reply queues at the same
 * broker.
 */
public final class QueueConsumer implements Listener, CompletionReplier, AmqpClientConnection.Owner {
    /** Whether ends are told. */
    public enum Tells {
        /** To the queue that a message asks for. */
        ASKED,
        /** Also of messages that ask for none, to a queue that is set. */
        ALWAYS,
        NEVER
    }

    /**
     * How it is set.
     *
     * @param name by which the journal knows this front
     * @param prefetch deliveries that may be unacknowledged
     * @param autoAcknowledge the broker forgets what it hands out, and what is refused is lost
     * @param replyQueue where ends go of messages that ask for no reply; null where they are not told
     * @param connectTimeout microseconds until a connection is open in AMQP's sense
     */
    public record Options(
            String name,
            AmqpClientConnection.Broker broker,
            String queue,
            int prefetch,
            boolean autoAcknowledge,
            Tells tells,
            String replyQueue,
            long connectTimeout) {}

    private static final int CONSUMING = 1;
    private static final int REPLYING = 2;
    private static final String TAG = "relay";
    private static final int MOST_BODY = 64 << 10;
    private static final long FIRST_PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 10_000;
    /** Guards against a broker that hands out again and again, in no time, what is refused. */
    private static final long LEAST_BACK_MS = 200;

    private static final long MOST_BACK_MS = 5_000;
    private static final int OK = 200;

    /** One delivery that awaits its answer, on the link that it came by and no other. */
    private final class Delivery implements Message.ClientReply {
        private final AmqpClientConnection on;
        private final long tag;
        private final String id;
        private final boolean anonymous;
        private Message message;

        Delivery(AmqpClientConnection on, long tag, MessageMapping.Fits fits) {
            this.on = on;
            this.tag = tag;
            id = fits.content().messageId();
            anonymous = fits.anonymous();
        }

        @Override
        public void accepted() {
            // On file before the broker hears of it: what it hands out again after a lost acknowledgement is known by
            // then.
            if (!anonymous) {
                seen.add(id);
            }
            answer(Method.of(MethodType.BASIC_ACK, tag, false));
        }

        @Override
        public void rejected(long retryIn) {
            message = null;
            long wait = Math.max(LEAST_BACK_MS, Math.min(MOST_BACK_MS, retryIn / 1_000));
            loop.schedule(() -> answer(Method.of(MethodType.BASIC_REJECT, tag, true)), wait, TimeUnit.MILLISECONDS);
        }

        @Override
        public void failed() {
            answer(Method.of(MethodType.BASIC_REJECT, tag, false));
        }

        private void answer(Method method) {
            message = null;
            deliveries.remove(this);
            // Guards against a tag of a connection that is gone, which would speak of another message on this one.
            if (options.autoAcknowledge()) {
                if (method.op() != MethodType.BASIC_ACK) {
                    Log.line("amqp: " + id + " is lost: it was refused, and the broker has forgotten it");
                }
            } else if (on == link && on.isOpen()) {
                on.send(CONSUMING, method);
            }
        }
    }

    private final EventLoop loop;
    private final MessageAcceptor intake;
    private final Clock clock;
    private final EventLoopLag pulse;
    private final MessageMapping mapping;
    private final Deduplicator seen;
    private final Options options;
    private final Consumer<Message> heard;
    private final CompletionNotifier others;
    private final GeneratedIds ids;
    private final Set<Delivery> deliveries = new HashSet<>();
    /** Ends that are not published, the oldest first. */
    private final ArrayDeque<Message> untold = new ArrayDeque<>();

    private PublisherConfirms<Message> confirms = new PublisherConfirms<>();
    private AmqpClientConnection link;
    private boolean replies;
    private boolean draining;
    private boolean stopped;
    private long pause = FIRST_PAUSE_MS;

    /**
     * A consumer; {@link #start} sets it going.
     *
     * @param heard told of each end that the broker has
     * @param others where ends go whose queue is not there
     */
    public QueueConsumer(
            EventLoop loop,
            MessageAcceptor intake,
            Clock clock,
            EventLoopLag pulse,
            MessageMapping mapping,
            Deduplicator seen,
            Options options,
            Consumer<Message> heard,
            CompletionNotifier others) {
        this.loop = loop;
        this.intake = intake;
        this.clock = clock;
        this.pulse = pulse;
        this.mapping = mapping;
        this.seen = seen;
        this.options = options;
        this.heard = heard;
        this.others = others;
        ids = new GeneratedIds(options.name(), clock.micros());
    }

    /** Connects, and again after pauses that grow, until the end. */
    public void start() {
        if (stopped) {
            return;
        }
        link = AmqpClientConnection.dial(loop, options.broker(), MOST_BODY, options.connectTimeout(), this);
    }

    @Override
    public void opened() {
        link.openChannel(CONSUMING);
        if (options.tells() != Tells.NEVER) {
            link.openChannel(REPLYING);
        }
    }

    @Override
    public void received(Command command) throws AmqpException {
        Method m = command.method();
        switch (m.op()) {
            case CHANNEL_OPEN_OK -> link.send(
                    command.channel(),
                    command.channel() == CONSUMING
                            ? Method.of(MethodType.BASIC_QOS, 0L, options.prefetch(), false)
                            : Method.of(MethodType.CONFIRM_SELECT, false));
            case BASIC_QOS_OK -> link.send(
                    CONSUMING,
                    Method.of(
                            MethodType.BASIC_CONSUME,
                            options.queue(),
                            TAG,
                            false,
                            options.autoAcknowledge(),
                            false,
                            false,
                            Map.of()));
            case BASIC_CONSUME_OK -> {
                link.ready();
                pause = FIRST_PAUSE_MS;
                Log.line("amqp: consuming queue " + options.queue() + " at "
                        + options.broker().address());
            }
            case CONFIRM_SELECT_OK -> {
                replies = true;
                tellAll();
            }
            case BASIC_DELIVER -> deliver(command);
            case BASIC_ACK, BASIC_NACK -> confirmed(m);
            case BASIC_RETURN -> returned(command);
            case BASIC_CANCEL_OK -> {}
            case BASIC_CANCEL -> link.end(OK, "the queue is gone");
            case CHANNEL_CLOSE -> {
                Log.line("amqp: queue " + options.queue() + ": the broker closed channel " + command.channel() + ": "
                        + m.number("reply-code") + " " + m.text("reply-text"));
                link.send(command.channel(), Method.of(MethodType.CHANNEL_CLOSE_OK));
                link.end(OK, "a channel was closed");
            }
            default -> throw new AmqpException(AmqpException.COMMAND_INVALID, m.op() + " was not asked for");
        }
    }

    // ---- messages in

    private void deliver(Command command) {
        Method m = command.method();
        long tag = m.number("delivery-tag");
        Properties properties = command.properties();
        MessageMapping.Mapped mapped = command.isSkipped()
                ? new MessageMapping.Misfits(command.size() + " bytes are more than is taken")
                : mapping.map(
                        properties,
                        m.text("exchange"),
                        m.text("routing-key"),
                        command.body(),
                        pulse.unreadSince(),
                        ids,
                        reply(properties));
        if (mapped instanceof MessageMapping.Misfits misfit) {
            rejectForGood(tag, misfit.reason());
            return;
        }
        MessageMapping.Fits fits = (MessageMapping.Fits) mapped;
        Message.Content content = fits.content();
        if (seen.contains(content.messageId())) {
            // Taken on before, and acknowledged in vain: its end is owed once.
            answer(Method.of(MethodType.BASIC_ACK, tag, false));
            return;
        }
        if (!intake.recognizes(content)) {
            rejectForGood(tag, "its destination or tenant is not known, or its class needs a key");
            return;
        }
        if (content.deadlineMicros() <= clock.micros()) {
            rejectForGood(tag, "its time is over");
            return;
        }
        Delivery delivery = new Delivery(link, tag, fits);
        deliveries.add(delivery);
        if (draining || !fits.anonymous() && !seen.hasRoom()) {
            delivery.rejected(0);
        } else {
            // Null where it has its answer by now.
            delivery.message = intake.accept(content, pulse.unreadSince(), delivery);
        }
    }

    private Message.Reply reply(Properties properties) {
        String asked = properties.text(Property.REPLY_TO);
        String queue = options.tells() == Tells.NEVER
                ? null
                : asked != null ? asked : options.tells() == Tells.ALWAYS ? options.replyQueue() : null;
        return queue == null
                ? null
                : new Message.Reply(options.name(), queue, properties.text(Property.CORRELATION_ID));
    }

    private void rejectForGood(long tag, String reason) {
        Log.line("amqp: queue " + options.queue() + ": a message is rejected for good: " + reason);
        answer(Method.of(MethodType.BASIC_REJECT, tag, false));
    }

    private void answer(Method method) {
        if (!options.autoAcknowledge()) {
            link.send(CONSUMING, method);
        }
    }

    // ---- ends out

    @Override
    public void tell(Message message) {
        untold.add(message);
        tellAll();
    }

    /** Ends wait as long as the broker wants no publishes. */
    @Override
    public void publishing(String why) {
        tellAll();
    }

    private void tellAll() {
        while (replies && link.mayPublish(REPLYING) && !untold.isEmpty() && link.isWritable()) {
            Message message = untold.poll();
            long tag = confirms.publish(message);
            PublisherConfirms<Message> current = confirms;
            link.send(
                            REPLYING,
                            Method.of(
                                    MethodType.BASIC_PUBLISH,
                                    "",
                                    message.content().reply().queue(),
                                    true,
                                    false),
                            ReplyBody.properties(message)
                                    .with(Property.HEADERS, Map.<String, Object>of(PublisherConfirms.TAG, tag)),
                            ReplyBody.body(message))
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            current.written(tag);
                            tellAll();
                        }
                    });
        }
    }

    private void confirmed(Method m) throws AmqpException {
        List<PublisherConfirms.Settled<Message>> settled =
                confirms.confirmed(m.number("delivery-tag"), m.flag("multiple"), m.op() == MethodType.BASIC_ACK);
        if (settled == null) {
            throw new AmqpException(AmqpException.PRECONDITION_FAILED, m + " speaks of no publish that is open");
        }
        settled.forEach(this::settle);
    }

    /** An end is heard once the broker has it. One that it may have is told again, under the same id. */
    private void settle(PublisherConfirms.Settled<Message> settled) {
        switch (settled.fate()) {
            case ACKED -> heard.accept(settled.what());
            case RETURNED -> {
                Log.line("amqp: queue " + settled.what().content().reply().queue() + " is not there for the end of "
                        + settled.what().content().messageId());
                others.notifyCompletion(settled.what());
            }
            default -> {
                untold.add(settled.what());
                // Guards against an end that waits for the next one, where the broker has refused it.
                loop.schedule(this::tellAll, LEAST_BACK_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void returned(Command command) {
        if (command.properties().headers().get(PublisherConfirms.TAG) instanceof Long tag) {
            confirms.returned(tag).forEach(this::settle);
        }
    }

    // ---- the end

    @Override
    public void closed(String reason) {
        if (!stopped) {
            Log.line(
                    "amqp: queue " + options.queue() + " at " + options.broker().address() + ": " + reason);
        }
        link = null;
        replies = false;
        // Guards against delivering what the broker now hands out again.
        for (Delivery delivery : List.copyOf(deliveries)) {
            Message message = delivery.message;
            delivery.message = null;
            deliveries.remove(delivery);
            if (message != null) {
                intake.withdraw(message);
            }
        }
        PublisherConfirms<Message> last = confirms;
        confirms = new PublisherConfirms<>();
        last.closed(false).forEach(this::settle);
        if (!stopped) {
            loop.schedule(this::start, pause, TimeUnit.MILLISECONDS);
            pause = Math.min(LONGEST_PAUSE_MS, pause * 2);
        }
    }

    @Override
    public void drain() {
        draining = true;
        if (link != null && link.isOpen()) {
            link.send(CONSUMING, Method.of(MethodType.BASIC_CANCEL, TAG, false));
        }
    }

    @Override
    public boolean isIdle() {
        return deliveries.isEmpty();
    }

    @Override
    public boolean isAnswering() {
        return deliveries.stream().anyMatch(d -> d.message != null);
    }

    @Override
    public void stopListening() {
        stopped = true;
        if (link != null) {
            link.end(OK, "the relay ends");
        }
    }
}
