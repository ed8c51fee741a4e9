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
import loftflow.amqp.codec.Property;
import loftflow.amqp.confirm.PublisherConfirms;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.amqp.link.AmqpConnection;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient.OutboundAttempt;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;

/**
 * One route through a broker: its connection with a channel in confirm mode, and the attempts on it. Events of the
 * broker become outcomes by the table of docs/operators/amqp.md ({@link BrokerOutcomes}); {@link PublisherConfirms}
 * decides what is proven. For use on the event loop only.
 */
final class BrokerConnection implements AmqpClientConnection.Listener {
    /** The services and callbacks that a connection needs from its client. */
    interface Owner {
        EventLoop loop();

        /** The time in microseconds, on the clock of message deadlines. */
        long nowMicros();

        long connectTimeoutMicros();

        /** An attempt has an outcome; a back-off of 0 stands for none. */
        void onAttemptCompleted(Message.Attempt attempt, AttemptOutcome outcome, long retryAfterMicros);

        /** An attempt whose outcome was unknown has turned out to be delivered. */
        void onLateDelivery(Message.Attempt attempt);

        /** A probe has an outcome. */
        void onProbeCompleted(String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros);
    }

    private static final int CHANNEL = 1;
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** The largest number of unconfirmed publishes; a connection that reaches it is closed. */
    private static final int MAX_UNCONFIRMED_PUBLISHES = 5_000;
    /** The back-off that is reported while the broker blocks publishers; it is reported again after that time. */
    private static final long BLOCKED_RETRY_AFTER_MICROS = 1_000_000;

    /** A confirm that takes longer is not waited for. */
    private static final long MAX_CONFIRM_DELAY_MICROS = 60_000_000;

    private static final long PROBE_TIMEOUT_MICROS = 1_000_000;
    private static final String NOT_LISTED_REASON = "the route is not listed any more";

    private record PendingAttempt(OutboundAttempt outbound, Future<?> timeout) {}

    private final String route;
    private final Endpoint endpoint;
    private final BrokerDestination destination;
    private final Owner owner;
    /** Attempts that wait for the connection, oldest first. */
    private final Map<Message.Attempt, PendingAttempt> unpublished = new LinkedHashMap<>();
    /** Published attempts without an outcome. Those with one remain in {@link #confirms} for a late confirm. */
    private final Map<Message.Attempt, PendingAttempt> published = new HashMap<>();
    /** When the messages in {@link #confirms} whose fate is not known were published, by their ids. */
    private final Map<String, Long> publishedAtMicros = new HashMap<>();
    /** The start times of unanswered probes, oldest first. */
    private final ArrayDeque<Long> probeStarts = new ArrayDeque<>();

    private PublisherConfirms<Message.Attempt> confirms = new PublisherConfirms<>();
    /** Null while there is no connection. */
    private AmqpClientConnection connection;
    /** The channel is in confirm mode, so that attempts may be published. */
    private boolean isReady;
    /** The connection has been ready, so that its end does not mean that the broker is unreachable. */
    private boolean hasBeenReady;

    /** This relay has closed the connection for a message that is sent again, and opens another one. */
    private boolean isReconnecting;

    private boolean isStopped;

    BrokerConnection(String route, Endpoint endpoint, BrokerDestination destination, Owner owner) {
        this.route = route;
        this.endpoint = endpoint;
        this.destination = destination;
        this.owner = owner;
    }

    String route() {
        return route;
    }

    boolean isAt(Endpoint other) {
        return endpoint.address().equals(other.address());
    }

    boolean isClosed() {
        return connection == null;
    }

    // ---- requests of the engine

    /** Publishes an attempt, once the connection is ready. */
    void send(OutboundAttempt outbound) {
        Message.Attempt attempt = outbound.attempt();
        if (isBlocked()) {
            owner.onAttemptCompleted(attempt, AttemptOutcome.REJECTED, BLOCKED_RETRY_AFTER_MICROS);
            return;
        }
        Future<?> timeout = owner.loop()
                .schedule(
                        () -> abandon(attempt, AttemptOutcome.TIMEOUT),
                        outbound.timeoutMicros(),
                        TimeUnit.MICROSECONDS);
        unpublished.put(attempt, new PendingAttempt(outbound, timeout));
        if (connection == null) {
            connect();
        } else {
            publishPending();
        }
    }

    /** Stops waiting for an attempt. One that was written to the socket may still be sent, and run. */
    void abandon(Message.Attempt attempt, AttemptOutcome outcome) {
        PendingAttempt pending = unpublished.remove(attempt);
        if (pending != null) {
            end(attempt, pending, BrokerOutcomes.ofUnpublished(isReady), 0);
            return;
        }
        pending = published.remove(attempt);
        if (pending != null) {
            end(attempt, pending, outcome, 0);
        }
    }

    /**
     * Closes the connection if a publish of a message has no confirm, whatever outcome its attempt has, because the
     * message is to be sent again. Other publishes without a confirm end with it; those that wait for the connection
     * are sent on the next one.
     */
    void endPublishes(String messageId) {
        if (connection != null && publishedAtMicros.containsKey(messageId)) {
            isReady = false;
            isReconnecting = true;
            closeConnection("a message without a confirm is sent again");
        }
    }

    /** Returns whether a late confirm of a message may still come. */
    boolean awaitsConfirm(String messageId) {
        Long atMicros = publishedAtMicros.get(messageId);
        return atMicros != null && owner.nowMicros() - atMicros < MAX_CONFIRM_DELAY_MICROS;
    }

    private static String messageId(Message.Attempt attempt) {
        return attempt.message().content().messageId();
    }

    private void end(Message.Attempt attempt, PendingAttempt pending, AttemptOutcome outcome, long retryAfterMicros) {
        pending.timeout().cancel(false);
        owner.onAttemptCompleted(attempt, outcome, retryAfterMicros);
    }

    /** Sends a request that costs the broker nothing; the answer also shows whether the broker blocks publishers. */
    void probe() {
        probeStarts.add(owner.nowMicros());
        if (connection == null) {
            connect();
        } else if (isReady) {
            sendProbe();
        }
        owner.loop().schedule(this::onProbeTimeout, PROBE_TIMEOUT_MICROS, TimeUnit.MICROSECONDS);
    }

    private void onProbeTimeout() {
        if (!probeStarts.isEmpty() && owner.nowMicros() - probeStarts.peek() >= PROBE_TIMEOUT_MICROS) {
            endProbes(AttemptOutcome.TIMEOUT);
        }
    }

    private void sendProbe() {
        connection.send(CHANNEL, Method.of(MethodType.BASIC_QOS, 0L, 0, false));
    }

    private void endProbes(AttemptOutcome outcome) {
        while (!probeStarts.isEmpty()) {
            owner.onProbeCompleted(route, outcome, 0, owner.nowMicros() - probeStarts.poll());
        }
    }

    void closeIdle() {
        if (connection != null
                && isReady
                && confirms.openCount() == 0
                && unpublished.isEmpty()
                && probeStarts.isEmpty()) {
            connection.closeGracefully(AmqpConnection.REPLY_SUCCESS, "idle");
        }
    }

    /** Stops for good: unpublished attempts are never sent, while published ones may still be confirmed. */
    void stop() {
        isStopped = true;
        endUnpublished(AttemptOutcome.NOT_SENT, 0);
        endProbes(AttemptOutcome.NOT_SENT);
        if (confirms.openCount() == 0) {
            closeConnection(NOT_LISTED_REASON);
        }
    }

    private void closeConnection(String reason) {
        if (connection != null) {
            connection.close(reason);
        }
    }

    // ---- the connection

    private void connect() {
        connection = AmqpClientConnection.connect(
                owner.loop(),
                new AmqpClientConnection.Broker(
                        endpoint.address(), destination.login(), destination.tls(), destination.tlsName()),
                MAX_BODY_BYTES,
                owner.connectTimeoutMicros(),
                this);
    }

    @Override
    public void onOpened() {
        connection.openChannel(CHANNEL);
    }

    @Override
    public void onCommand(Command command) throws AmqpException {
        Method method = command.method();
        switch (method.type()) {
            case CHANNEL_OPEN_OK -> connection.send(CHANNEL, Method.of(MethodType.CONFIRM_SELECT, false));
            case CONFIRM_SELECT_OK -> onReady();
            case BASIC_ACK, BASIC_NACK -> onConfirm(method);
            case BASIC_RETURN -> onReturn(command);
            case BASIC_QOS_OK -> onProbeAnswered();
            case CHANNEL_CLOSE -> onChannelClosed(method);
            default -> throw new AmqpException(AmqpException.COMMAND_INVALID, method.type() + " was not asked for");
        }
    }

    private void onReady() {
        connection.cancelOpenTimeout();
        isReady = true;
        hasBeenReady = true;
        probeStarts.forEach(start -> sendProbe());
        publishPending();
    }

    private void onProbeAnswered() {
        Long start = probeStarts.poll();
        if (start != null) {
            AttemptOutcome outcome = isBlocked() ? AttemptOutcome.REJECTED : AttemptOutcome.OK;
            long retryAfterMicros = isBlocked() ? BLOCKED_RETRY_AFTER_MICROS : 0;
            owner.onProbeCompleted(route, outcome, retryAfterMicros, owner.nowMicros() - start);
        }
    }

    private boolean isBlocked() {
        return connection != null && !isReconnecting && !connection.canPublish(CHANNEL);
    }

    /** The broker blocks publishers, or accepts them again: while it blocks, unpublished attempts end as rejected. */
    @Override
    public void onPublishingChanged(String why) {
        log("publishing changed", " reason=" + why);
        if (isBlocked()) {
            endUnpublished(AttemptOutcome.REJECTED, BLOCKED_RETRY_AFTER_MICROS);
        }
    }

    private void endUnpublished(AttemptOutcome outcome, long retryAfterMicros) {
        Map.copyOf(unpublished).forEach((attempt, pending) -> {
            unpublished.remove(attempt);
            end(attempt, pending, outcome, retryAfterMicros);
        });
    }

    // ---- publishes

    private void publishPending() {
        while (isReady
                && !unpublished.isEmpty()
                && connection.isWritable()
                && confirms.openCount() < MAX_UNCONFIRMED_PUBLISHES) {
            Message.Attempt attempt = unpublished.keySet().iterator().next();
            PendingAttempt pending = unpublished.remove(attempt);
            // After its latest arrival the destination may have forgotten the idempotency key.
            boolean isPastLatestArrival =
                    owner.nowMicros() >= pending.outbound().latestArrivalMicros();
            if (isPastLatestArrival || !attempt.message().isOpen()) {
                end(attempt, pending, AttemptOutcome.NOT_SENT, 0);
                continue;
            }
            published.put(attempt, pending);
            publish(attempt);
        }
        if (isReady && confirms.openCount() >= MAX_UNCONFIRMED_PUBLISHES) {
            closeConnection(confirms.openCount() + " publishes have no confirm");
        }
    }

    private void publish(Message.Attempt attempt) {
        Message.Content content = attempt.message().content();
        long tag = confirms.publish(attempt);
        publishedAtMicros.put(content.messageId(), owner.nowMicros());
        PublisherConfirms<Message.Attempt> current = confirms;
        Method method =
                Method.of(MethodType.BASIC_PUBLISH, destination.exchange(), destination.routingKey(), true, false);
        connection
                .send(CHANNEL, method, PublishProperties.of(content, tag, owner.nowMicros()), content.body())
                .addListener(done -> {
                    if (done.isSuccess()) {
                        current.written(tag);
                        publishPending();
                    }
                });
    }

    private void onConfirm(Method method) throws AmqpException {
        long tag = method.number("delivery-tag");
        List<PublisherConfirms.Settled<Message.Attempt>> settled =
                confirms.confirmed(tag, method.flag("multiple"), method.type() == MethodType.BASIC_ACK);
        if (settled == null) {
            throw new AmqpException(AmqpException.PRECONDITION_FAILED, method + " speaks of no publish that is open");
        }
        settled.forEach(this::settle);
        publishPending();
        if (isStopped && confirms.openCount() == 0) {
            closeConnection(NOT_LISTED_REASON);
        }
    }

    private void onReturn(Command command) {
        Object tagHeader = command.properties().headers().get(PublisherConfirms.DELIVERY_TAG_HEADER);
        String messageId = command.properties().text(Property.MESSAGE_ID);
        List<PublisherConfirms.Settled<Message.Attempt>> settled =
                confirms.returned(tagHeader, attempt -> messageId(attempt).equals(messageId));
        if (settled.isEmpty()) {
            log("return of an unknown publish", "");
        } else {
            log(
                    "message returned",
                    " reason=" + command.method().text("reply-text") + " exchange=\"" + destination.exchange()
                            + "\" routingKey=\"" + destination.routingKey() + "\"");
        }
        if (settled.size() > 1) {
            log("return does not identify its publish", " publishes=" + settled.size());
        }
        settled.forEach(this::settle);
    }

    private void settle(PublisherConfirms.Settled<Message.Attempt> settled) {
        Message.Attempt attempt = settled.publish();
        publishedAtMicros.remove(messageId(attempt));
        PendingAttempt pending = published.remove(attempt);
        if (pending != null) {
            end(attempt, pending, BrokerOutcomes.ofFate(settled.outcome()), 0);
        } else if (settled.outcome() == PublisherConfirms.Outcome.ACKED) {
            // The attempt has timed out or was cancelled before.
            owner.onLateDelivery(attempt);
        }
    }

    /** The broker has closed the channel: its publishes are settled, and the connection is closed with it. */
    private void onChannelClosed(Method method) {
        long code = method.number("reply-code");
        log("channel closed by the broker", " code=" + code + " reason=" + method.text("reply-text"));
        boolean isPublish = method.number("class-id") == MethodType.BASIC_PUBLISH.classId()
                && method.number("method-id") == MethodType.BASIC_PUBLISH.methodId();
        boolean isPublishAtFault =
                isPublish && (code == AmqpException.NOT_FOUND || code == AmqpException.ACCESS_REFUSED);
        connection.send(CHANNEL, Method.of(MethodType.CHANNEL_CLOSE_OK));
        settleAll(isPublishAtFault);
        connection.closeGracefully(AmqpConnection.REPLY_SUCCESS, "its channel was closed");
    }

    private void settleAll(boolean isPublishAtFault) {
        PublisherConfirms<Message.Attempt> last = confirms;
        confirms = new PublisherConfirms<>();
        isReady = false;
        last.closed(isPublishAtFault).forEach(this::settle);
    }

    @Override
    public void onClosed(String reason) {
        boolean wasReady = hasBeenReady;
        hasBeenReady = false;
        if (!wasReady && !isStopped || confirms.openCount() > 0) {
            log("connection closed", " reason=" + reason);
        }
        connection = null;
        settleAll(false);
        boolean mayReconnect = isReconnecting && !isStopped && !unpublished.isEmpty();
        isReconnecting = false;
        if (mayReconnect) {
            connect();
        } else {
            endUnpublished(BrokerOutcomes.ofUnpublished(wasReady), 0);
        }
        endProbes(BrokerOutcomes.ofUnansweredProbe(wasReady));
    }

    private void log(String event, String details) {
        Log.line("upstream: " + event + " route=" + route + details);
    }
}
