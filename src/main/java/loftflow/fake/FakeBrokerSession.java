package loftflow.fake;

import io.netty.channel.socket.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpConnection;
import loftflow.amqp.link.AmqpServerConnection;
import loftflow.protocol.MessageHeaders;

/** One client connection of a {@link FakeBroker}. Runs on the broker's event loop. */
final class FakeBrokerSession implements AmqpServerConnection.Listener {
    private final FakeBroker broker;
    final SocketChannel channel;
    final AmqpServerConnection connection;
    final Map<Integer, BrokerChannel> channels = new HashMap<>();
    private boolean isBlockKnownToClient;

    FakeBrokerSession(FakeBroker broker, SocketChannel ch) {
        this.broker = broker;
        this.channel = ch;
        connection = new AmqpServerConnection(
                new AmqpServerConnection.Limits(
                        "stand-in", FakeBroker.MAX_CHANNELS, FakeBroker.MAX_FRAME_BYTES, broker.heartbeatSeconds),
                FakeBroker.MAX_BODY_BYTES,
                AmqpConnection.UNLIMITED_BODY_BUDGET,
                this);
    }

    @Override
    public boolean isAuthorized(String user, String password) {
        return !password.equals("wrong");
    }

    @Override
    public void onOpened(String virtualHost) {
        broker.sessions.add(this);
        if (broker.isBlocked) {
            // Deferred, because the answer to the client is sent after this method returns.
            broker.loop.execute(this::sendBlockedState);
        }
    }

    /**
     * Sends the blocked state, followed by a flow method on each channel if publishing is blocked. A client that
     * answers the flow has read the blocked state before it, so its later publishes disregard that state.
     */
    void sendBlockedState() {
        if (!channel.isActive()) {
            return;
        }
        connection.send(
                0,
                broker.isBlocked
                        ? Method.of(MethodType.CONNECTION_BLOCKED, "low on memory")
                        : Method.of(MethodType.CONNECTION_UNBLOCKED));
        if (broker.isBlocked) {
            channels.keySet().forEach(c -> connection.send(c, Method.of(MethodType.CHANNEL_FLOW, true)));
        } else {
            isBlockKnownToClient = false;
        }
    }

    @Override
    public void onChannelOpened(int channel) {
        channels.put(channel, new BrokerChannel(channel));
        isBlockKnownToClient |= broker.isBlocked;
    }

    @Override
    public void onChannelClosed(int channel) {
        BrokerChannel state = channels.remove(channel);
        state.consumers.forEach(c -> c.queue().consumers.remove(c));
        List<UnackedDelivery> requeued =
                new ArrayList<>(state.unacked.descendingMap().values());
        requeued.forEach(broker::requeue);
        requeued.stream().map(UnackedDelivery::queue).distinct().forEach(broker::dispatch);
    }

    @Override
    public void onClosed(String reason) {
        broker.sessions.remove(this);
    }

    @Override
    public void onCommand(Command command) throws AmqpException {
        BrokerChannel state = channels.get(command.channel());
        Method m = command.method();
        switch (command.type()) {
            case EXCHANGE_DECLARE -> {
                declareExchange(m);
                answer(state, m, Method.of(MethodType.EXCHANGE_DECLARE_OK));
            }
            case EXCHANGE_DELETE -> {
                broker.exchanges.remove(m.text("exchange"));
                answer(state, m, Method.of(MethodType.EXCHANGE_DELETE_OK));
            }
            case QUEUE_DECLARE -> declareQueue(state, m);
            case QUEUE_BIND -> {
                requireQueue(m.text("queue"));
                if (!broker.exchanges.containsKey(m.text("exchange"))) {
                    throw new AmqpException(AmqpException.NOT_FOUND, "NOT_FOUND - no exchange " + m.text("exchange"));
                }
                broker.exchanges
                        .get(m.text("exchange"))
                        .bindings()
                        .add(new BrokerBinding(m.text("routing-key"), m.text("queue")));
                answer(state, m, Method.of(MethodType.QUEUE_BIND_OK));
            }
            case QUEUE_PURGE -> {
                long messageCount = requireQueue(m.text("queue")).ready.size();
                requireQueue(m.text("queue")).ready.clear();
                answer(state, m, Method.of(MethodType.QUEUE_PURGE_OK, messageCount));
            }
            case QUEUE_DELETE -> {
                BrokerQueue deleted = broker.queues.remove(m.text("queue"));
                answer(state, m, Method.of(MethodType.QUEUE_DELETE_OK, deleted == null ? 0L : deleted.ready.size()));
            }
            case BASIC_QOS -> {
                state.prefetch = (int) m.number("prefetch-count");
                connection.send(state.number, Method.of(MethodType.BASIC_QOS_OK));
            }
            case BASIC_CONSUME -> consume(state, m);
            case BASIC_CANCEL -> cancel(state, m);
            case BASIC_GET -> get(state, m);
            case BASIC_PUBLISH -> publish(state, command);
            case BASIC_ACK -> settleDeliveries(state, m.number("delivery-tag"), m.flag("multiple"), true, false);
            case BASIC_NACK -> settleDeliveries(
                    state, m.number("delivery-tag"), m.flag("multiple"), false, m.flag("requeue"));
            case BASIC_REJECT -> settleDeliveries(state, m.number("delivery-tag"), false, false, m.flag("requeue"));
            case CONFIRM_SELECT -> {
                state.confirmMode = true;
                answer(state, m, Method.of(MethodType.CONFIRM_SELECT_OK));
            }
            case CHANNEL_FLOW -> connection.send(state.number, Method.of(MethodType.CHANNEL_FLOW_OK, m.flag("active")));
            case CHANNEL_FLOW_OK -> isBlockKnownToClient = broker.isBlocked;
            default -> throw new AmqpException(AmqpException.NOT_IMPLEMENTED, command.type() + " is not implemented");
        }
    }

    private void answer(BrokerChannel state, Method request, Method answer) {
        if (!request.flag("no-wait")) {
            connection.send(state.number, answer);
        }
    }

    private void declareExchange(Method m) throws AmqpException {
        boolean exists = broker.exchanges.containsKey(m.text("exchange"));
        if (m.flag("passive") && !exists) {
            throw new AmqpException(AmqpException.NOT_FOUND, "NOT_FOUND - no exchange '" + m.text("exchange") + "'");
        }
        if (exists
                && !m.flag("passive")
                && !broker.exchanges.get(m.text("exchange")).type().equals(m.text("type"))) {
            throw new AmqpException(
                    AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - the exchange exists with another type");
        }
        broker.exchanges.computeIfAbsent(
                m.text("exchange"), e -> new BrokerExchange(m.text("type"), new ArrayList<>()));
    }

    private BrokerQueue requireQueue(String name) throws AmqpException {
        BrokerQueue queue = broker.queues.get(name);
        if (queue == null) {
            throw new AmqpException(AmqpException.NOT_FOUND, "NOT_FOUND - no queue '" + name + "'");
        }
        return queue;
    }

    private void declareQueue(BrokerChannel state, Method m) throws AmqpException {
        String name = m.text("queue").isEmpty() ? "amq.gen-" + broker.generatedNames++ : m.text("queue");
        BrokerQueue queue =
                m.flag("passive") ? requireQueue(name) : broker.queues.computeIfAbsent(name, BrokerQueue::new);
        answer(state, m, Method.of(MethodType.QUEUE_DECLARE_OK, name, (long) queue.ready.size(), (long)
                queue.consumers.size()));
    }

    private void consume(BrokerChannel state, Method m) throws AmqpException {
        BrokerQueue queue = requireQueue(m.text("queue"));
        String tag = m.text("consumer-tag").isEmpty() ? "ctag-" + broker.generatedNames++ : m.text("consumer-tag");
        BrokerConsumer consumer = new BrokerConsumer(this, state, tag, queue, m.flag("no-ack"));
        answer(state, m, Method.of(MethodType.BASIC_CONSUME_OK, tag));
        state.consumers.add(consumer);
        queue.consumers.add(consumer);
        broker.dispatch(queue);
    }

    private void cancel(BrokerChannel state, Method m) {
        state.consumers.stream()
                .filter(c -> c.tag().equals(m.text("consumer-tag")))
                .toList()
                .forEach(c -> {
                    state.consumers.remove(c);
                    c.queue().consumers.remove(c);
                });
        answer(state, m, Method.of(MethodType.BASIC_CANCEL_OK, m.text("consumer-tag")));
    }

    private void get(BrokerChannel state, Method m) throws AmqpException {
        BrokerQueue queue = requireQueue(m.text("queue"));
        StoredMessage message = queue.ready.poll();
        if (message == null) {
            connection.send(state.number, Method.of(MethodType.BASIC_GET_EMPTY));
            return;
        }
        long tag = ++state.delivered;
        if (!m.flag("no-ack")) {
            state.unacked.put(tag, new UnackedDelivery(queue, message));
        }
        connection.send(
                state.number,
                Method.of(
                        MethodType.BASIC_GET_OK, tag, message.redelivered, message.exchange, message.routingKey, (long)
                                queue.ready.size()),
                message.properties,
                message.body);
    }

    private void settleDeliveries(BrokerChannel state, long tag, boolean multiple, boolean acks, boolean requeues)
            throws AmqpException {
        if (acks && broker.losesAcknowledgement.getAsBoolean()) {
            channel.close();
            return;
        }
        Map<Long, UnackedDelivery> settled = multiple
                ? new TreeMap<>(state.unacked.headMap(tag == 0 ? Long.MAX_VALUE : tag, true))
                : state.unacked.containsKey(tag) ? Map.of(tag, state.unacked.get(tag)) : Map.of();
        if (settled.isEmpty() && tag != 0) {
            throw new AmqpException(
                    AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - unknown delivery tag " + tag);
        }
        Set<BrokerQueue> touched = new LinkedHashSet<>();
        settled.forEach((t, delivery) -> {
            state.unacked.remove(t);
            touched.add(delivery.queue());
            if (acks) {
                delivery.queue().acked++;
            } else if (requeues) {
                broker.requeue(delivery);
            } else {
                broker.queues
                        .computeIfAbsent(FakeBroker.DEAD_LETTERS, BrokerQueue::new)
                        .ready
                        .add(delivery.message());
            }
        });
        touched.forEach(broker::dispatch);
        state.consumers.forEach(c -> broker.dispatch(c.queue()));
    }

    private void publish(BrokerChannel state, Command command) throws AmqpException {
        Method m = command.method();
        Properties properties = command.properties();
        String id = properties.text(Property.MESSAGE_ID);
        broker.publishesWhileBlocked += isBlockKnownToClient && broker.isBlocked ? 1 : 0;
        long tag = state.confirmMode ? ++state.published : 0;
        FakeBroker.PublishOutcome outcome = broker.outcomeById.apply(id);
        String exchange = m.text("exchange");
        if (outcome == FakeBroker.PublishOutcome.NO_EXCHANGE || !broker.exchanges.containsKey(exchange)) {
            throw new AmqpException(AmqpException.NOT_FOUND, "NOT_FOUND - no exchange '" + exchange + "' in vhost '/'");
        }
        boolean takesEffect =
                outcome != FakeBroker.PublishOutcome.NACK && outcome != FakeBroker.PublishOutcome.DROP_BEFORE;
        Set<BrokerQueue> to = takesEffect ? broker.route(exchange, m.text("routing-key")) : Set.of();
        store(command, exchange, to);
        if (takesEffect && to.isEmpty() && m.flag("mandatory")) {
            returnUnroutable(state, command, exchange);
        }
        to.forEach(broker::dispatch);
        if (outcome == FakeBroker.PublishOutcome.DROP_BEFORE || outcome == FakeBroker.PublishOutcome.DROP_AFTER) {
            channel.close();
        } else if (outcome == FakeBroker.PublishOutcome.CLOSE_CHANNEL) {
            connection.closeChannel(
                    state.number,
                    new AmqpException(AmqpException.PRECONDITION_FAILED, "PRECONDITION_FAILED - scripted by the test"),
                    MethodType.BASIC_ACK);
        } else if (outcome == FakeBroker.PublishOutcome.CLOSE_CONNECTION) {
            connection.closeGracefully(AmqpException.CONNECTION_FORCED, "CONNECTION_FORCED - scripted by the test");
        } else if (tag > 0) {
            confirm(state, tag, outcome);
        }
    }

    /** Enqueues a published message, and records a posting for each queue, or a single one if there is no queue. */
    private void store(Command command, String exchange, Set<BrokerQueue> queues) {
        for (BrokerQueue queue : queues) {
            broker.postings.add(posting(command, queue.name));
            queue.ready.add(new StoredMessage(
                    exchange, command.method().text("routing-key"), command.properties(), command.body()));
        }
        if (queues.isEmpty()) {
            broker.postings.add(posting(command, null));
        }
    }

    private static FakeBroker.Posting posting(Command command, String queue) {
        Properties properties = command.properties();
        Object key = properties.headers().get(MessageHeaders.IDEMPOTENCY_KEY);
        return new FakeBroker.Posting(
                properties.text(Property.MESSAGE_ID),
                key == null ? null : key.toString(),
                queue,
                properties,
                command.body(),
                System.nanoTime(),
                queue != null);
    }

    private void returnUnroutable(BrokerChannel state, Command command, String exchange) {
        connection.send(
                state.number,
                Method.of(
                        MethodType.BASIC_RETURN,
                        AmqpException.NO_ROUTE,
                        "NO_ROUTE",
                        exchange,
                        command.method().text("routing-key")),
                broker.returnedProperties.apply(command.properties()),
                command.body());
    }

    private void confirm(BrokerChannel state, long tag, FakeBroker.PublishOutcome outcome) {
        switch (outcome) {
            case NACK -> connection.send(state.number, Method.of(MethodType.BASIC_NACK, tag, false, false));
            case CONFIRM_LATE -> {
                state.unconfirmed.put(tag, outcome);
                broker.loop.schedule(
                        () -> {
                            if (state.unconfirmed.remove(tag) != null && connection.isOpen(state.number)) {
                                connection.send(state.number, Method.of(MethodType.BASIC_ACK, tag, false));
                            }
                        },
                        broker.lateConfirmMillis,
                        TimeUnit.MILLISECONDS);
            }
            case CONFIRM -> confirmHeld(state, tag);
            default -> state.unconfirmed.put(tag, outcome);
        }
    }

    private void confirmHeld(BrokerChannel state, long tag) {
        boolean multiple = state.unconfirmed.containsValue(FakeBroker.PublishOutcome.CONFIRM_WITH_NEXT);
        connection.send(state.number, Method.of(MethodType.BASIC_ACK, tag, multiple));
        if (multiple) {
            state.unconfirmed.clear();
        }
        state.unconfirmed.entrySet().removeIf(held -> {
            boolean isDue = held.getValue() == FakeBroker.PublishOutcome.CONFIRM_AFTER_NEXT;
            if (isDue) {
                connection.send(state.number, Method.of(MethodType.BASIC_ACK, held.getKey(), false));
            }
            return isDue;
        });
    }
}
