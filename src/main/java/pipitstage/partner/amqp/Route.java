package pipitstage.partner.amqp;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import pipitstage.Policy.Result;
import pipitstage.amqp.codec.AmqpException;
import pipitstage.amqp.codec.Command;
import pipitstage.amqp.codec.Method;
import pipitstage.amqp.codec.Op;
import pipitstage.amqp.codec.Properties;
import pipitstage.amqp.codec.Property;
import pipitstage.amqp.confirm.Confirms;
import pipitstage.amqp.link.ClientLink;
import pipitstage.engine.Message;
import pipitstage.engine.Partners.Outgoing;
import pipitstage.engine.Target;
import pipitstage.http.Headers;
import pipitstage.log.Log;

/**
 * One route through a broker: its connection with a channel in confirm mode, and the attempts on it. What a broker does
 * becomes one of the module's results by the table in docs/operators/amqp.md; {@link Confirms} says what is proven.
 */
final class Route implements ClientLink.Owner {
    /** What a route needs of its client. */
    interface Owner {
        EventLoop loop();

        long now();

        long connectTimeout();

        /** An attempt ended; {@code wait} microseconds were asked for. */
        void ended(Message.Attempt attempt, Result result, long wait);

        /** An attempt that ended as unknown has turned out to have taken effect. */
        void late(Message.Attempt attempt);

        void probed(String route, Result result, long wait, long elapsed);
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

    private record Pending(Outgoing outgoing, Future<?> timeout) {}

    private final String name;
    private final Target target;
    private final Broker broker;
    private final Owner owner;
    /** What waits for the connection. */
    private final Map<Message.Attempt, Pending> waiting = new LinkedHashMap<>();
    /** What was published and has not ended; what has ended stays in {@link #confirms} for a late confirm. */
    private final Map<Message.Attempt, Pending> out = new HashMap<>();
    /** When each probe began that the broker has not answered. */
    private final ArrayDeque<Long> probes = new ArrayDeque<>();

    private Confirms<Message.Attempt> confirms = new Confirms<>();
    private ClientLink link;
    /** Publishes may leave. */
    private boolean ready;
    /** The connection has been ready, so that its end says nothing of whether the broker can be reached. */
    private boolean served;

    private boolean stopped;

    Route(String name, Target target, Broker broker, Owner owner) {
        this.name = name;
        this.target = target;
        this.broker = broker;
        this.owner = owner;
    }

    String name() {
        return name;
    }

    boolean isAt(Target other) {
        return target.address().equals(other.address());
    }

    // ---- what the engine asks for

    void send(Outgoing outgoing) {
        if (mustWait()) {
            owner.ended(outgoing.attempt(), Result.FULL, BLOCKED_WAIT);
            return;
        }
        Future<?> timeout = owner.loop()
                .schedule(() -> giveUp(outgoing.attempt(), Result.TIMEOUT), outgoing.timeout(), TimeUnit.MICROSECONDS);
        waiting.put(outgoing.attempt(), new Pending(outgoing, timeout));
        if (link == null) {
            connect();
        } else {
            publishWaiting();
        }
    }

    /** Stops waiting for an attempt. What was handed to the socket may still leave, and run. */
    void giveUp(Message.Attempt attempt, Result result) {
        Pending pending = waiting.remove(attempt);
        if (pending != null) {
            end(attempt, pending, ready ? Result.NOT_SENT : Result.CONNECT_FAILED, 0);
            return;
        }
        pending = out.remove(attempt);
        if (pending != null) {
            end(attempt, pending, result, 0);
        }
    }

    private void end(Message.Attempt attempt, Pending pending, Result result, long wait) {
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
                                endProbes(Result.TIMEOUT);
                            }
                        },
                        PROBE_TIMEOUT,
                        TimeUnit.MICROSECONDS);
    }

    private void askForProbe() {
        link.send(CHANNEL, Method.of(Op.BASIC_QOS, 0L, 0, false));
    }

    private void endProbes(Result result) {
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
        endWaiting(Result.NOT_SENT, 0);
        endProbes(Result.NOT_SENT);
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
        link = ClientLink.dial(
                owner.loop(),
                new ClientLink.Broker(target.address(), broker.login(), broker.tls(), broker.tlsName()),
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
            case CHANNEL_OPEN_OK -> link.send(CHANNEL, Method.of(Op.CONFIRM_SELECT, false));
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
                    name, mustWait() ? Result.FULL : Result.OK, mustWait() ? BLOCKED_WAIT : 0, owner.now() - began);
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
            endWaiting(Result.FULL, BLOCKED_WAIT);
        }
    }

    private void endWaiting(Result result, long wait) {
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
            if (owner.now() >= pending.outgoing().latest()) {
                end(attempt, pending, Result.NOT_SENT, 0);
                continue;
            }
            out.put(attempt, pending);
            publish(attempt, pending.outgoing());
        }
        if (ready && confirms.open() >= MOST_OPEN) {
            closeLink(confirms.open() + " publishes have no confirm");
        }
    }

    private void publish(Message.Attempt attempt, Outgoing outgoing) {
        Message.Content content = attempt.message().content();
        long tag = confirms.publish(attempt);
        Map<String, Object> headers = new LinkedHashMap<>();
        headers.put(Confirms.TAG, tag);
        if (content.key() != null) {
            headers.put(Headers.KEY, content.key());
        }
        long now = owner.now();
        long left = Math.max(1, (content.deadline() - now) / MS);
        Properties properties = Properties.NONE
                .with(Property.HEADERS, headers)
                .with(Property.DELIVERY_MODE, PERSISTENT)
                .with(Property.EXPIRATION, Long.toString(left))
                .with(Property.MESSAGE_ID, content.callId())
                .with(Property.TIMESTAMP, now / (MS * MS))
                .with(Property.TYPE, content.requestClass());
        Confirms<Message.Attempt> current = confirms;
        link.send(
                        CHANNEL,
                        Method.of(Op.BASIC_PUBLISH, broker.exchange(), broker.routingKey(), true, false),
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
        List<Confirms.Settled<Message.Attempt>> settled =
                confirms.confirmed(tag, method.flag("multiple"), method.op() == Op.BASIC_ACK);
        if (settled == null) {
            throw new AmqpException(AmqpException.PRECONDITION_FAILED, method + " speaks of no publish that is open");
        }
        settled.forEach(this::settle);
        afterConfirm();
    }

    private void returned(Command command) {
        Object tag = command.properties().headers().get(Confirms.TAG);
        List<Confirms.Settled<Message.Attempt>> settled =
                tag instanceof Long number ? confirms.returned(number) : List.of();
        if (settled.isEmpty()) {
            Log.line("host " + name + ": a return speaks of no publish that is open");
        } else {
            Log.line("host " + name + ": returned, " + command.method().text("reply-text") + ": exchange \""
                    + broker.exchange() + "\", routing key \"" + broker.routingKey() + "\"");
        }
        settled.forEach(this::settle);
    }

    private void settle(Confirms.Settled<Message.Attempt> settled) {
        Message.Attempt attempt = settled.what();
        Pending pending = out.remove(attempt);
        if (pending == null) {
            // It has ended as timed out or cancelled. Only that it took effect is news of use.
            if (settled.fate() == Confirms.Fate.ACKED) {
                owner.late(attempt);
            }
            return;
        }
        end(
                attempt,
                pending,
                switch (settled.fate()) {
                    case ACKED -> Result.OK;
                    case NACKED -> Result.ERROR;
                    case RETURNED, NEVER -> Result.NOT_SENT;
                    case UNKNOWN -> Result.RESET;
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
        boolean publish = method.number("class-id") == Op.BASIC_PUBLISH.classId()
                && method.number("method-id") == Op.BASIC_PUBLISH.methodId()
                && (code == AmqpException.NOT_FOUND || code == AmqpException.ACCESS_REFUSED);
        link.send(CHANNEL, Method.of(Op.CHANNEL_CLOSE_OK));
        settleAll(publish);
        link.end(OK, "its channel was closed");
    }

    private void settleAll(boolean publishAtFault) {
        Confirms<Message.Attempt> last = confirms;
        confirms = new Confirms<>();
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
        endWaiting(opened ? Result.NOT_SENT : Result.CONNECT_FAILED, 0);
        endProbes(opened ? Result.RESET : Result.CONNECT_FAILED);
    }
}
