package loftflow.listener.amqp;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpServerConnection;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.engine.Message;
import loftflow.log.Log;

/** One program's connection: its publishes, and the ends that it takes. */
final class PublisherSession implements AmqpServerConnection.Owner {
    /** Publishes without an answer from which on nothing more is read of the connection. */
    private static final int MOST_UNANSWERED = 256;

    private static final int MOST_NAME = 200;

    /** One publish that awaits its answer; one with no id of its own is not remembered. */
    private final class Publish implements Message.ClientReply {
        private final Channel channel;
        private final long tag;
        private final String id;
        private Message message;

        Publish(Channel channel, long tag, String id) {
            this.channel = channel;
            this.tag = tag;
            this.id = id;
        }

        @Override
        public void accepted() {
            // On file before the program hears of it: a publish that comes again after a lost confirm is known by then.
            if (id != null) {
                parts.seen().add(id);
            }
            answer(Method.of(MethodType.BASIC_ACK, tag, false));
        }

        @Override
        public void rejected(long retryIn) {
            answer(Method.of(MethodType.BASIC_NACK, tag, false, false));
        }

        @Override
        public void failed() {
            answer(Method.of(MethodType.BASIC_NACK, tag, false, false));
        }

        private void answer(Method method) {
            message = null;
            unanswered--;
            channel.publishes.remove(tag);
            // Guards against an answer on a channel that was opened anew under the same number.
            if (channels.get(channel.number) == channel) {
                link.send(channel.number, method);
            }
            if (paused && unanswered <= MOST_UNANSWERED / 2) {
                paused = false;
                link.read(true);
            }
        }
    }

    /** An end that was handed out. */
    private record Out(Consumer consumer, Message message) {}

    /** Someone who consumes a queue of ends. */
    private final class Consumer implements AmqpListener.Taker {
        private final Channel channel;
        private final String queue;
        private final String tag;
        private final boolean noAck;

        Consumer(Channel channel, String queue, String tag, boolean noAck) {
            this.channel = channel;
            this.queue = queue;
            this.tag = tag;
            this.noAck = noAck;
        }

        @Override
        public boolean mayTake() {
            return channel.flows && (noAck || channel.prefetch == 0 || channel.out.size() < channel.prefetch);
        }

        @Override
        public void take(Message message, boolean again) {
            long number = ++channel.delivered;
            if (!noAck) {
                channel.out.put(number, new Out(this, message));
            }
            link.send(
                    channel.number,
                    Method.of(MethodType.BASIC_DELIVER, tag, number, again, "", queue),
                    ReplyBody.properties(message),
                    ReplyBody.body(message));
            if (noAck) {
                server.heard(message);
            }
        }
    }

    private static final class Channel {
        private final int number;
        private boolean confirms;
        private boolean flows = true;
        private int prefetch;
        private long published;
        private long delivered;
        private final Map<Long, Publish> publishes = new HashMap<>();
        private final TreeMap<Long, Out> out = new TreeMap<>();
        private final Map<String, Consumer> consumers = new HashMap<>();

        Channel(int number) {
            this.number = number;
        }
    }

    private final AmqpListener server;
    private final AmqpListener.Parts parts;
    private final Map<Integer, Channel> channels = new HashMap<>();
    private AmqpServerConnection link;
    private boolean in;
    private boolean paused;
    private int unanswered;
    private int names;

    PublisherSession(AmqpListener server, AmqpListener.Parts parts) {
        this.server = server;
        this.parts = parts;
    }

    void attach(AmqpServerConnection to) {
        link = to;
    }

    /** True once the program is let in. */
    boolean isIn() {
        return in;
    }

    boolean isAnswering() {
        return unanswered > 0;
    }

    void close(String reason) {
        link.close(reason);
    }

    void end(int code, String text) {
        link.end(code, text);
    }

    @Override
    public boolean admits(String user, String password) {
        String needed = parts.options().user();
        return !server.isDraining()
                && (needed == null
                        || needed.equals(user)
                                && MessageDigest.isEqual(
                                        parts.options().password().getBytes(StandardCharsets.UTF_8),
                                        password.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void opened(String virtualHost) {
        in = true;
    }

    @Override
    public void channelOpened(int channel) {
        channels.put(channel, new Channel(channel));
    }

    /** Guards against delivering what its program gave up, and against ends that only a gone channel had. */
    @Override
    public void channelClosed(int number) {
        Channel channel = channels.remove(number);
        for (Publish publish : List.copyOf(channel.publishes.values())) {
            Message message = publish.message;
            if (message != null) {
                publish.message = null;
                unanswered--;
                parts.intake().withdraw(message);
            }
        }
        channel.consumers.values().forEach(c -> server.removeTaker(c.queue, c));
        channel.out.descendingMap().values().forEach(o -> server.giveBack(o.consumer().queue, o.message()));
        channel.out.values().stream().map(o -> o.consumer().queue).distinct().forEach(server::dispatch);
    }

    @Override
    public void closed(String reason) {
        server.closed(this);
    }

    @Override
    public void received(Command command) throws AmqpException {
        Channel channel = channels.get(command.channel());
        Method m = command.method();
        switch (command.op()) {
            case CONFIRM_SELECT -> {
                channel.confirms = true;
                answer(channel, m, Method.of(MethodType.CONFIRM_SELECT_OK));
            }
            case BASIC_PUBLISH -> publish(channel, command);
            case EXCHANGE_DECLARE -> {
                checkExchange(m.text("exchange"));
                answer(channel, m, Method.of(MethodType.EXCHANGE_DECLARE_OK));
            }
            case QUEUE_DECLARE -> declare(channel, m);
            case BASIC_QOS -> {
                channel.prefetch = (int) m.number("prefetch-count");
                link.send(channel.number, Method.of(MethodType.BASIC_QOS_OK));
                channel.consumers.values().forEach(c -> server.dispatch(c.queue));
            }
            case BASIC_CONSUME -> consume(channel, m);
            case BASIC_CANCEL -> {
                Consumer gone = channel.consumers.remove(m.text("consumer-tag"));
                if (gone != null) {
                    server.removeTaker(gone.queue, gone);
                }
                answer(channel, m, Method.of(MethodType.BASIC_CANCEL_OK, m.text("consumer-tag")));
            }
            case BASIC_ACK -> settle(channel, m, m.flag("multiple"), true);
            case BASIC_NACK -> settle(channel, m, m.flag("multiple"), !m.flag("requeue"));
            case BASIC_REJECT -> settle(channel, m, false, !m.flag("requeue"));
            case CHANNEL_FLOW -> {
                channel.flows = m.flag("active");
                link.send(channel.number, Method.of(MethodType.CHANNEL_FLOW_OK, channel.flows));
                channel.consumers.values().forEach(c -> server.dispatch(c.queue));
            }
            default -> throw new AmqpException(
                    AmqpException.NOT_IMPLEMENTED, "NOT_IMPLEMENTED - a relay has no " + command.op());
        }
    }

    private void answer(Channel channel, Method asked, Method answer) {
        if (!asked.flag("no-wait")) {
            link.send(channel.number, answer);
        }
    }

    // ---- messages in

    private void checkExchange(String exchange) throws AmqpException {
        if (!exchange.isEmpty() && !exchange.equals(parts.options().exchange())) {
            throw new AmqpException(
                    AmqpException.NOT_FOUND,
                    "NOT_FOUND - no exchange '" + exchange + "': this relay has '"
                            + parts.options().exchange() + "' and the nameless one");
        }
    }

    private void publish(Channel channel, Command command) throws AmqpException {
        if (!channel.confirms) {
            throw new AmqpException(
                    AmqpException.PRECONDITION_FAILED,
                    "PRECONDITION_FAILED - a relay takes messages on"
                            + " channels in confirm mode alone, since its refusals would be lost on others");
        }
        Method m = command.method();
        checkExchange(m.text("exchange"));
        long tag = ++channel.published;
        if (command.isSkipped()) {
            refuse(
                    channel,
                    tag,
                    command,
                    AmqpException.CONTENT_TOO_LARGE,
                    "CONTENT_TOO_LARGE - " + command.size()
                            + " bytes are more than is taken, or more than there is room for now");
            return;
        }
        Properties properties = command.properties();
        String replyTo = properties.text(Property.REPLY_TO);
        Message.Reply reply = replyTo == null
                ? null
                : new Message.Reply(parts.options().name(), replyTo, properties.text(Property.CORRELATION_ID));
        MessageMapping.Mapped mapped = parts.mapping()
                .map(
                        properties,
                        m.text("exchange"),
                        m.text("routing-key"),
                        command.body(),
                        parts.pulse().unreadSince(),
                        server.ids(),
                        reply);
        if (mapped instanceof MessageMapping.Misfits misfit) {
            refuse(
                    channel,
                    tag,
                    command,
                    AmqpException.PRECONDITION_FAILED,
                    "PRECONDITION_FAILED - " + misfit.reason());
        } else {
            takeOn(channel, tag, command, (MessageMapping.Fits) mapped);
        }
    }

    private void takeOn(Channel channel, long tag, Command command, MessageMapping.Fits fits) {
        Message.Content content = fits.content();
        if (!parts.intake().hasDestination(content.destination())) {
            refuse(channel, tag, command, AmqpException.NO_ROUTE, "NO_ROUTE");
        } else if (!parts.intake().recognizes(content)) {
            refuse(
                    channel,
                    tag,
                    command,
                    AmqpException.PRECONDITION_FAILED,
                    "PRECONDITION_FAILED - its tenant is not known," + " or its class needs a key");
        } else if (parts.seen().contains(content.messageId())) {
            // Taken on before: its end is owed once, and this copy is no message of its own.
            link.send(channel.number, Method.of(MethodType.BASIC_ACK, tag, false));
        } else if (!fits.anonymous() && !parts.seen().hasRoom() || server.isDraining()) {
            link.send(channel.number, Method.of(MethodType.BASIC_NACK, tag, false, false));
        } else {
            Publish publish = new Publish(channel, tag, fits.anonymous() ? null : content.messageId());
            channel.publishes.put(tag, publish);
            unanswered++;
            // Null where the publish is answered by now.
            publish.message = parts.intake().accept(content, parts.pulse().unreadSince(), publish);
            if (unanswered >= MOST_UNANSWERED && !paused) {
                paused = true;
                link.read(false);
            }
        }
    }

    /** Nothing of it was taken on. A program that asked for returns hears why; all hear that it is refused. */
    private void refuse(Channel channel, long tag, Command command, int code, String why) {
        Method m = command.method();
        if (m.flag("mandatory") && command.body() != null) {
            link.send(
                    channel.number,
                    Method.of(
                            MethodType.BASIC_RETURN,
                            code,
                            why.length() > MOST_NAME ? why.substring(0, MOST_NAME) : why,
                            m.text("exchange"),
                            m.text("routing-key")),
                    command.properties(),
                    command.body());
        } else {
            Log.line("amqp: a publish is refused: " + why);
        }
        link.send(channel.number, Method.of(MethodType.BASIC_NACK, tag, false, false));
    }

    // ---- ends out

    private static String queueName(String name) throws AmqpException {
        if (name.startsWith("amq.")) {
            throw new AmqpException(
                    AmqpException.ACCESS_REFUSED,
                    "ACCESS_REFUSED - names that begin with amq. are the" + " relay's own");
        }
        return name;
    }

    private void declare(Channel channel, Method m) throws AmqpException {
        String asked = m.text("queue");
        String name = asked.isEmpty() ? "ends-" + server.ids().get() + "-" + names++ : queueName(asked);
        answer(channel, m, Method.of(MethodType.QUEUE_DECLARE_OK, name, (long) server.ready(name), 0L));
    }

    private void consume(Channel channel, Method m) throws AmqpException {
        String queue = queueName(m.text("queue"));
        String tag = m.text("consumer-tag").isEmpty() ? "consumer-" + names++ : m.text("consumer-tag");
        Consumer consumer = new Consumer(channel, queue, tag, m.flag("no-ack"));
        if (channel.consumers.putIfAbsent(tag, consumer) != null) {
            throw new AmqpException(AmqpException.NOT_ALLOWED, "NOT_ALLOWED - consumer tag '" + tag + "' is in use");
        }
        answer(channel, m, Method.of(MethodType.BASIC_CONSUME_OK, tag));
        server.addTaker(queue, consumer);
        server.dispatch(queue);
    }

    private void settle(Channel channel, Method m, boolean multiple, boolean done) throws AmqpException {
        long tag = m.number("delivery-tag");
        Map<Long, Out> meant = new TreeMap<>(
                multiple
                        ? channel.out.headMap(tag == 0 ? Long.MAX_VALUE : tag, true)
                        : channel.out.subMap(tag, true, tag, true));
        if (meant.isEmpty() && !(multiple && tag == 0)) {
            throw new AmqpException(
                    AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - unknown delivery tag " + tag);
        }
        List<Out> back = new ArrayList<>();
        meant.forEach((number, out) -> {
            channel.out.remove(number);
            if (done) {
                server.heard(out.message());
            } else {
                back.add(0, out);
            }
        });
        back.forEach(out -> server.giveBack(out.consumer().queue, out.message()));
        channel.consumers.values().forEach(c -> server.dispatch(c.queue));
    }
}
