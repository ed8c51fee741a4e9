package loftflow.listener.amqp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
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
import loftflow.protocol.ClientProtocol;

/**
 * Listens for programs that publish to the relay directly. Publishes are accepted in confirm mode only: an ack means
 * that the message is accepted, a nack that it is not and may be published again. Completions remain in the journal
 * until a consumer of their reply queue has acknowledged them. For use on the event loop only.
 */
public final class AmqpListener implements Listener, CompletionReplier {
    /**
     * The settings of a listener.
     *
     * @param name the name of this listener in the journal
     * @param exchange where programs publish; the default exchange is accepted as well
     * @param user null where every program is admitted
     * @param maxConnections the limit on connections
     * @param replyHoldMicros how long a completion waits for a consumer before it is reported elsewhere
     */
    public record Options(
            String name,
            String exchange,
            String user,
            String password,
            int maxConnections,
            AmqpServerConnection.Limits offer,
            long replyHoldMicros) {}

    /** What the sessions of a listener share. */
    record Context(
            MessageAcceptor messageAcceptor,
            Clock clock,
            EventLoopLag eventLoopLag,
            MessageMapping mapping,
            Deduplicator deduplicator,
            Options options) {}

    /** The bytes of partly received bodies that all connections may hold together. */
    private static final int MAX_BUFFERED_BYTES = 4 << 20;

    private static final long HANDSHAKE_TIMEOUT_MILLIS = 2_500;
    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final Context context;
    private final Consumer<Message> acknowledged;
    private final CompletionNotifier fallbackNotifier;
    private final CompletionQueues completionQueues;
    private final Set<PublisherSession> sessions = new LinkedHashSet<>();
    private final GeneratedIds ids;
    private final Acceptor acceptor;
    private final BodyBuffer bodyBuffer = new BodyBuffer();
    private EventLoop loop;
    private boolean isDraining;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param acknowledged receives each message whose completion a program has acknowledged
     * @param fallbackNotifier receives completions that no program consumes
     */
    public AmqpListener(
            MessageAcceptor messageAcceptor,
            Clock clock,
            EventLoopLag eventLoopLag,
            MessageMapping mapping,
            Deduplicator deduplicator,
            Options options,
            Consumer<Message> acknowledged,
            CompletionNotifier fallbackNotifier) {
        context = new Context(messageAcceptor, clock, eventLoopLag, mapping, deduplicator, options);
        this.acknowledged = acknowledged;
        this.fallbackNotifier = fallbackNotifier;
        completionQueues = new CompletionQueues(clock);
        acceptor = new Acceptor(eventLoopLag, this::onAccepted);
        ids = new GeneratedIds(options.name(), clock.micros());
    }

    /** Listens at an address. */
    public ChannelFuture listen(EventLoop eventLoop, InetSocketAddress address) {
        loop = eventLoop;
        scheduleExpiry();
        return acceptor.open(loop, address);
    }

    private void scheduleExpiry() {
        loop.schedule(this::expireCompletions, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The memory bound of partly received bodies, which all connections share. */
    private static final class BodyBuffer implements CommandAssembler.BodyBudget {
        private int bufferedBytes;

        @Override
        public boolean tryReserve(int bytes) {
            if (bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
                return false;
            }
            bufferedBytes += bytes;
            return true;
        }

        @Override
        public void release(int bytes) {
            bufferedBytes -= bytes;
        }
    }

    private void onAccepted(Channel channel) {
        PublisherSession session = new PublisherSession(this, context);
        AmqpServerConnection connection =
                new AmqpServerConnection(context.options().offer(), ClientProtocol.MAX_BODY_BYTES, bodyBuffer, session);
        session.attach(connection);
        if (sessions.size() >= context.options().maxConnections() && !evictOldestInHandshake()) {
            channel.close();
            return;
        }
        sessions.add(session);
        channel.pipeline().addLast(connection);
        loop.schedule(
                () -> {
                    if (!session.isAdmitted()) {
                        session.close("it did not open in time");
                    }
                },
                HANDSHAKE_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Evicts the oldest connection that is not admitted yet; returns false where there is none. */
    private boolean evictOldestInHandshake() {
        PublisherSession oldest = sessions.stream()
                .filter(session -> !session.isAdmitted())
                .findFirst()
                .orElse(null);
        if (oldest == null) {
            return false;
        }
        onClosed(oldest);
        oldest.close("others come");
        return true;
    }

    void onClosed(PublisherSession session) {
        sessions.remove(session);
    }

    GeneratedIds ids() {
        return ids;
    }

    boolean isDraining() {
        return isDraining;
    }

    // ---- completions

    CompletionQueues completionQueues() {
        return completionQueues;
    }

    @Override
    public void reply(Message message) {
        completionQueues.add(message);
    }

    /** A program has acknowledged the completion of a message. */
    void onAcknowledged(Message message) {
        acknowledged.accept(message);
    }

    /** Reports completions elsewhere that no program consumes, so that they do not fill the journal. */
    private void expireCompletions() {
        scheduleExpiry();
        completionQueues.expire(context.options().replyHoldMicros(), (queue, message) -> {
            Log.line("amqp: completion not consumed messageId="
                    + message.content().messageId() + " queue=" + queue);
            fallbackNotifier.notifyCompletion(message);
        });
    }

    // ---- shutdown

    @Override
    public void drain() {
        isDraining = true;
        List.copyOf(sessions).stream()
                .filter(session -> !session.isAdmitted())
                .forEach(session -> session.close("the relay ends"));
    }

    @Override
    public boolean isIdle() {
        return !hasRequestInProgress();
    }

    @Override
    public boolean hasRequestInProgress() {
        return sessions.stream().anyMatch(PublisherSession::hasUnansweredPublishes);
    }

    @Override
    public void stopListening() {
        acceptor.close();
        sessions.forEach(session -> session.end(AmqpException.CONNECTION_FORCED, "CONNECTION_FORCED - the relay ends"));
    }
}
