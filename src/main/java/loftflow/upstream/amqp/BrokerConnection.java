package loftflow.upstream.amqp;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.confirm.PublisherConfirms;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient.OutboundAttempt;
import loftflow.http.Headers;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;

/**
 * One route through a broker: its connection with a channel in confirm mode, and the attempts on it. What a broker does
 * becomes one of the module's results by the table in docs/operators/amqp.md; {@link PublisherConfirms} says what is
 * proven.
 */
final class BrokerConnection implements AmqpClientConnection.Owner {
    /** What a route needs of its client. */
    interface Owner {
        EventLoop loop();

        long now();

        long connectTimeout();

        /** An attempt ended; {@code wait} microseconds were asked for. */
        void ended(Message.Attempt attempt, AttemptOutcome result, long wait);

        /** An attempt that ended as unknown has turned out to have taken effect. */
        void late(Message.Attempt attempt);

        void probed(String route, AttemptOutcome result, long wait, long elapsed);
    }

    private static final int CHANNEL = 1;
    private static final int MOST_BODY = 1 << 20;
    /** Publishes that may have no confirm; with more of them the connection is of no use any more. */
    private static final int MOST_OPEN = 5_000;
    /** How long the module is told to wait while the broker blocks publishers; it is told again then. */
    private static final long BLOCKED_WAIT = 1_000_000;

    private static final long PROBE_TIMEOUT = 1_000_000;
    private static final int PERSISTENT = 2;
    private static final long MS = 1_000;
    private static final int OK = 200;

    private record Pending(OutboundAttempt outgoing, Future<?> timeout) {}

    private final String name;
    private final Endpoint target;
    private final BrokerDestination broker;
    private final Owner owner;
    /** What waits for the connection. */
    private final Map<Message.Attempt, Pending> waiting = new LinkedHashMap<>();
    /** What was published and has not ended; what has ended stays in {@link #confirms} for a late confirm. */
    private final Map<Message.Attempt, Pending> out = new HashMap<>();
    /** When each probe began that the broker has not answered. */
    private final ArrayDeque<Long> probes = new ArrayDeque<>();

    private PublisherConfirms<Message.Attempt> confirms = new PublisherConfirms<>();
    private AmqpClientConnection link;
    /** Publishes may leave. */
    private boolean ready;
    /** The connection has been ready, so that its end says nothing of whether the broker can be reached. */
    private boolean served;

    private boolean stopped;

    BrokerConnection(String name, Endpoint target, BrokerDestination broker, Owner owner) {
        this.name = name;
        this.target = target;
        this.broker = broker;
        this.owner = owner;
    }

    String name() {
        return name;
    }

    boolean isAt(Endpoint other) {
        return target.address().equals(other.address());
    }

    // ---- what the engine asks for

    void send(OutboundAttempt outgoing) {
        if (mustWait()) {
            owner.ended(outgoing.attempt(), AttemptOutcome.REJECTED, BLOCKED_WAIT);
            return;
        }
        Future<?> timeout = owner.loop()
                .schedule(
                        () -> giveUp(outgoing.attempt(), AttemptOutcome.TIMEOUT),
                        outgoing.timeoutMicros(),
                        TimeUnit.MICROSECONDS);
        waiting.put(outgoing.attempt(), new Pending(outgoing, timeout));
        if (link == null) {
            connect();
        } else {
            publishWaiting();
        }
    }

    /** Stops waiting for an attempt. What was handed to the socket may still leave, and run. */
    void giveUp(Message.Attempt attempt, AttemptOutcome result) {
        Pending pending = waiting.remove(attempt);
        if (pending != null) {
            end(attempt, pending, ready ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED, 0);
            return;
        }
        pending = out.remove(attempt);
        if (pending != null) {
            end(attempt, pending, result, 0);
        }
    }

    private void end(Message.Attempt attempt, Pending pending, AttemptOutcome result, long wait) {
        pending.timeout().cancel(false);
        owner.ended(attempt, result, wait);
    }

    /** Asks the broker for an answer that costs it nothing; a blocked one tells by that how it fares. */
    void probe() {
        probes.add(owner.now());
        if (link == null) {
            connect();
        } else if (ready) {
            askForProbe();
        }
        owner.loop()
                .schedule(
                        () -> {
                            if (!probes.isEmpty() && owner.now() - probes.peek() >= PROBE_TIMEOUT) {
                                endProbes(AttemptOutcome.TIMEOUT);
                            }
                        },
                        PROBE_TIMEOUT,
                        TimeUnit.MICROSECONDS);
    }

    private void askForProbe() {
        link.send(CHANNEL, Method.of(MethodType.BASIC_QOS, 0L, 0, false));
    }

    private void endProbes(AttemptOutcome result) {
        while (!probes.isEmpty()) {
            owner.probed(name, result, 0, owner.now() - probes.poll());
        }
    }

    void closeIdle() {
        if (link != null && ready && confirms.open() == 0 && waiting.isEmpty() && probes.isEmpty()) {
            link.end(OK, "idle");
        }
    }

    /** Guards against a first byte after the grace: what waits never leaves. What is out may yet be confirmed. */
    void stop() {
        stopped = true;
        endWaiting(AttemptOutcome.NOT_SENT, 0);
        endProbes(AttemptOutcome.NOT_SENT);
        if (confirms.open() == 0) {
            closeLink("the route is not listed any more");
        }
    }

    private void closeLink(String reason) {
        if (link != null) {
            link.close(reason);
        }
    }

    // ---- the connection

    private void connect() {
        link = AmqpClientConnection.dial(
                owner.loop(),
                new AmqpClientConnection.Broker(target.address(), broker.login(), broker.tls(), broker.tlsName()),
                MOST_BODY,
                owner.connectTimeout(),
                this);
    }

    @Override
    public void opened() {
        link.openChannel(CHANNEL);
    }

    @Override
    public void received(Command command) throws AmqpException {
        Method method = command.method();
        switch (method.op()) {
            case CHANNEL_OPEN_OK -> link.send(CHANNEL, Method.of(MethodType.CONFIRM_SELECT, false));
            case CONFIRM_SELECT_OK -> ready();
            case BASIC_ACK, BASIC_NACK -> confirmed(method);
            case BASIC_RETURN -> returned(command);
            case BASIC_QOS_OK -> probeAnswered();
            case CHANNEL_CLOSE -> channelClosed(method);
            default -> throw new AmqpException(AmqpException.COMMAND_INVALID, method.op() + " was not asked for");
        }
    }

    private void ready() {
        link.ready();
        ready = true;
        served = true;
        probes.forEach(began -> askForProbe());
        publishWaiting();
    }

    private void probeAnswered() {
        Long began = probes.poll();
        if (began != null) {
            owner.probed(
                    name,
                    mustWait() ? AttemptOutcome.REJECTED : AttemptOutcome.OK,
                    mustWait() ? BLOCKED_WAIT : 0,
                    owner.now() - began);
        }
    }

    private boolean mustWait() {
        return link != null && !link.mayPublish(CHANNEL);
    }

    /** While publishers must wait the module is told so, and nothing leaves. */
    @Override
    public void publishing(String why) {
        Log.line("host " + name + ": " + why);
        if (mustWait()) {
            endWaiting(AttemptOutcome.REJECTED, BLOCKED_WAIT);
        }
    }

    private void endWaiting(AttemptOutcome result, long wait) {
        Map.copyOf(waiting).forEach((attempt, pending) -> {
            waiting.remove(attempt);
            end(attempt, pending, result, wait);
        });
    }

    // ---- publishes

    private void publishWaiting() {
        while (ready && !waiting.isEmpty() && link.isWritable() && confirms.open() < MOST_OPEN) {
            Message.Attempt attempt = waiting.keySet().iterator().next();
            Pending pending = waiting.remove(attempt);
            // Guards against a repeat that its destination may not know as one any more.
            if (owner.now() >= pending.outgoing().latestArrivalMicros()) {
                end(attempt, pending, AttemptOutcome.NOT_SENT, 0);
                continue;
            }
            out.put(attempt, pending);
            publish(attempt, pending.outgoing());
        }
        if (ready && confirms.open() >= MOST_OPEN) {
            closeLink(confirms.open() + " publishes have no confirm");
        }
    }

    private void publish(Message.Attempt attempt, OutboundAttempt outgoing) {
        Message.Content content = attempt.message().content();
        long tag = confirms.publish(attempt);
        Map<String, Object> headers = new LinkedHashMap<>();
        headers.put(PublisherConfirms.TAG, tag);
        if (content.key() != null) {
            headers.put(Headers.KEY, content.key());
        }
        long now = owner.now();
        long left = Math.max(1, (content.deadlineMicros() - now) / MS);
        Properties properties = Properties.NONE
                .with(Property.HEADERS, headers)
                .with(Property.DELIVERY_MODE, PERSISTENT)
                .with(Property.EXPIRATION, Long.toString(left))
                .with(Property.MESSAGE_ID, content.messageId())
                .with(Property.TIMESTAMP, now / (MS * MS))
                .with(Property.TYPE, content.requestClass());
        PublisherConfirms<Message.Attempt> current = confirms;
        link.send(
                        CHANNEL,
                        Method.of(MethodType.BASIC_PUBLISH, broker.exchange(), broker.routingKey(), true, false),
                        properties,
                        content.body())
                .addListener(done -> {
                    if (done.isSuccess()) {
                        current.written(tag);
                        publishWaiting();
                    }
                });
    }

    private void confirmed(Method method) throws AmqpException {
        long tag = method.number("delivery-tag");
        List<PublisherConfirms.Settled<Message.Attempt>> settled =
                confirms.confirmed(tag, method.flag("multiple"), method.op() == MethodType.BASIC_ACK);
        if (settled == null) {
            throw new AmqpException(AmqpException.PRECONDITION_FAILED, method + " speaks of no publish that is open");
        }
        settled.forEach(this::settle);
        afterConfirm();
    }

    private void returned(Command command) {
        Object tag = command.properties().headers().get(PublisherConfirms.TAG);
        List<PublisherConfirms.Settled<Message.Attempt>> settled =
                tag instanceof Long number ? confirms.returned(number) : List.of();
        if (settled.isEmpty()) {
            Log.line("host " + name + ": a return speaks of no publish that is open");
        } else {
            Log.line("host " + name + ": returned, " + command.method().text("reply-text") + ": exchange \""
                    + broker.exchange() + "\", routing key \"" + broker.routingKey() + "\"");
        }
        settled.forEach(this::settle);
    }

    private void settle(PublisherConfirms.Settled<Message.Attempt> settled) {
        Message.Attempt attempt = settled.what();
        Pending pending = out.remove(attempt);
        if (pending == null) {
            // It has ended as timed out or cancelled. Only that it took effect is news of use.
            if (settled.fate() == PublisherConfirms.Fate.ACKED) {
                owner.late(attempt);
            }
            return;
        }
        end(
                attempt,
                pending,
                switch (settled.fate()) {
                    case ACKED -> AttemptOutcome.OK;
                    case NACKED -> AttemptOutcome.ERROR;
                    case RETURNED, NEVER -> AttemptOutcome.NOT_SENT;
                    case UNKNOWN -> AttemptOutcome.RESET;
                },
                0);
    }

    private void afterConfirm() {
        publishWaiting();
        if (stopped && confirms.open() == 0) {
            closeLink("the route is not listed any more");
        }
    }

    /** The broker has closed the channel: what was on it is settled, and the connection goes with it. */
    private void channelClosed(Method method) {
        long code = method.number("reply-code");
        Log.line("host " + name + ": the broker closed the channel: " + code + " " + method.text("reply-text"));
        boolean publish = method.number("class-id") == MethodType.BASIC_PUBLISH.classId()
                && method.number("method-id") == MethodType.BASIC_PUBLISH.methodId()
                && (code == AmqpException.NOT_FOUND || code == AmqpException.ACCESS_REFUSED);
        link.send(CHANNEL, Method.of(MethodType.CHANNEL_CLOSE_OK));
        settleAll(publish);
        link.end(OK, "its channel was closed");
    }

    private void settleAll(boolean publishAtFault) {
        PublisherConfirms<Message.Attempt> last = confirms;
        confirms = new PublisherConfirms<>();
        ready = false;
        last.closed(publishAtFault).forEach(this::settle);
    }

    @Override
    public void closed(String reason) {
        boolean opened = served;
        served = false;
        if (!opened && !stopped || confirms.open() > 0) {
            Log.line("host " + name + ": " + reason);
        }
        link = null;
        settleAll(false);
        // What still waits never left, and the module hears why.
        endWaiting(opened ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED, 0);
        endProbes(opened ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }
}
