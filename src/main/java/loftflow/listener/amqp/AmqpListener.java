package loftflow.listener.amqp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.CommandAssembler;
import loftflow.amqp.link.AmqpServerConnection;
import loftflow.amqp.mapping.GeneratedIds;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.deduplication.Deduplicator;
import loftflow.engine.Clock;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.Listener;
import loftflow.listener.connection.Acceptor;
import loftflow.log.Log;

/**
 * Listens for programs that publish straight to the relay. Publishes are taken in confirm mode alone: a confirm means
 * that the message is taken on, a refusal that it is not and may be published again. Ends lie in the journal until a
 * consumer of their queue has acknowledged them.
 */
public final class AmqpListener implements Listener, CompletionReplier {
    /**
     * How it is set.
     *
     * @param name by which the journal knows this front
     * @param exchange where programs publish; the nameless one does as well
     * @param user null where everyone may come in
     * @param connections that programs may hold
     * @param replyHold microseconds for which an end waits for its consumer, before it goes where others go
     */
    public record Options(
            String name,
            String exchange,
            String user,
            String password,
            int connections,
            AmqpServerConnection.Offer offer,
            long replyHold) {}

    /** What everything here works with. */
    record Parts(
            MessageAcceptor intake,
            Clock clock,
            EventLoopLag pulse,
            MessageMapping mapping,
            Deduplicator seen,
            Options options) {}

    /** Someone who takes ends. */
    interface Taker {
        /** True where it can take one more now. */
        boolean mayTake();

        /** Takes an end, to acknowledge it or give it back later. */
        void take(Message message, boolean again);
    }

    /** Ends that wait for takers, by queue. */
    private static final class Waiting {
        final ArrayDeque<Told> ready = new ArrayDeque<>();
        final Set<Taker> takers = new LinkedHashSet<>();
    }

    private record Told(Message message, boolean again, long since) {}

    private static final int MOST_BODY = 64 << 10;
    private static final int MOST_BUFFERED = 4 << 20;
    private static final long OPENING_MS = 2_500;
    private static final long LOOK_MS = 1_000;

    private final Parts parts;
    private final Consumer<Message> heard;
    private final CompletionNotifier others;
    private final Map<String, Waiting> queues = new HashMap<>();
    private final Set<PublisherSession> sessions = new LinkedHashSet<>();
    private final GeneratedIds ids;
    private final Acceptor door;
    private EventLoop loop;
    private int buffered;
    private boolean draining;

    /**
     * A listener.
     *
     * @param heard told of each end that a program has
     * @param others where ends go that nobody takes
     */
    public AmqpListener(
            MessageAcceptor intake,
            Clock clock,
            EventLoopLag pulse,
            MessageMapping mapping,
            Deduplicator seen,
            Options options,
            Consumer<Message> heard,
            CompletionNotifier others) {
        parts = new Parts(intake, clock, pulse, mapping, seen, options);
        this.heard = heard;
        this.others = others;
        door = new Acceptor(pulse, this::accept);
        ids = new GeneratedIds(options.name(), clock.micros());
    }

    /** Listens at an address. */
    public ChannelFuture listen(EventLoop eventLoop, InetSocketAddress address) {
        loop = eventLoop;
        loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
        return door.open(loop, address);
    }

    private void accept(Channel ch) {
        PublisherSession session = new PublisherSession(this, parts);
        AmqpServerConnection link = new AmqpServerConnection(
                parts.options().offer(),
                MOST_BODY,
                new CommandAssembler.Room() {
                    @Override
                    public boolean take(int bytes) {
                        if (buffered + bytes > MOST_BUFFERED) {
                            return false;
                        }
                        buffered += bytes;
                        return true;
                    }

                    @Override
                    public void give(int bytes) {
                        buffered -= bytes;
                    }
                },
                session);
        session.attach(link);
        // Guards against clients that take every descriptor: of those that are not in yet the oldest goes first.
        if (sessions.size() >= parts.options().connections()) {
            PublisherSession first =
                    sessions.stream().filter(s -> !s.isIn()).findFirst().orElse(null);
            if (first == null) {
                ch.close();
                return;
            }
            closed(first);
            first.close("others come");
        }
        sessions.add(session);
        ch.pipeline().addLast(link);
        // Guards against clients that connect and never open, or send half a header.
        loop.schedule(
                () -> {
                    if (!session.isIn()) {
                        session.close("it did not open in time");
                    }
                },
                OPENING_MS,
                TimeUnit.MILLISECONDS);
    }

    void closed(PublisherSession session) {
        sessions.remove(session);
    }

    GeneratedIds ids() {
        return ids;
    }

    boolean isDraining() {
        return draining;
    }

    // ---- ends

    @Override
    public void tell(Message message) {
        Waiting queue = queue(message.content().reply().queue());
        queue.ready.add(new Told(message, false, parts.clock().micros()));
        dispatch(queue);
    }

    private Waiting queue(String name) {
        return queues.computeIfAbsent(name, n -> new Waiting());
    }

    int ready(String name) {
        return queues.containsKey(name) ? queues.get(name).ready.size() : 0;
    }

    void addTaker(String name, Taker taker) {
        queue(name).takers.add(taker);
    }

    void removeTaker(String name, Taker taker) {
        Waiting queue = queues.get(name);
        if (queue != null) {
            queue.takers.remove(taker);
            if (queue.takers.isEmpty() && queue.ready.isEmpty()) {
                queues.remove(name);
            }
        }
    }

    /** A program has an end. */
    void heard(Message message) {
        heard.accept(message);
    }

    /** An end was handed out and not acknowledged: it is told again, ahead of later ones. */
    void giveBack(String name, Message message) {
        queue(name).ready.addFirst(new Told(message, true, parts.clock().micros()));
    }

    /** Hands out what waits; each taker in turn, as far as it may. */
    void dispatch(String name) {
        if (queues.containsKey(name)) {
            dispatch(queues.get(name));
        }
    }

    private void dispatch(Waiting queue) {
        boolean progress = true;
        while (progress && !queue.ready.isEmpty()) {
            progress = false;
            for (Taker taker : List.copyOf(queue.takers)) {
                if (!queue.ready.isEmpty() && taker.mayTake()) {
                    Told told = queue.ready.poll();
                    taker.take(told.message(), told.again());
                    progress = true;
                }
            }
        }
    }

    /** Guards against ends that nobody ever takes, which would fill the journal. */
    private void look() {
        loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
        long now = parts.clock().micros();
        for (Iterator<Map.Entry<String, Waiting>> all = queues.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<String, Waiting> queue = all.next();
            ArrayDeque<Told> ready = queue.getValue().ready;
            while (!ready.isEmpty()
                    && now - ready.peek().since() > parts.options().replyHold()) {
                Message message = ready.poll().message();
                Log.line("nobody took the end of " + message.content().messageId() + " from queue " + queue.getKey());
                others.notifyCompletion(message);
            }
            if (ready.isEmpty() && queue.getValue().takers.isEmpty()) {
                all.remove();
            }
        }
    }

    // ---- the end

    @Override
    public void drain() {
        draining = true;
        List.copyOf(sessions).stream().filter(s -> !s.isIn()).forEach(s -> s.close("the relay ends"));
    }

    @Override
    public boolean isIdle() {
        return !isAnswering();
    }

    @Override
    public boolean isAnswering() {
        return sessions.stream().anyMatch(PublisherSession::isAnswering);
    }

    @Override
    public void stopListening() {
        door.close();
        sessions.forEach(s -> s.end(AmqpException.CONNECTION_FORCED, "CONNECTION_FORCED - the relay ends"));
    }
}
