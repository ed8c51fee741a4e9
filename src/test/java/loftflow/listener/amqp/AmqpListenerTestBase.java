package loftflow.listener.amqp;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import loftflow.amqp.mapping.MessageMapping;
import loftflow.amqp.mapping.ValueSource;
import loftflow.deduplication.Deduplicator;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.engine.Message;
import loftflow.listener.FakeMessageAcceptor;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.RequestClass;
import org.junit.jupiter.api.AfterEach;

/** What tests of both AMQP listeners share: an event loop, a message acceptor and a deduplicator. */
abstract class AmqpListenerTestBase {
    static final long SECOND_MICROS = 1_000_000;
    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final FakeMessageAcceptor messageAcceptor = new FakeMessageAcceptor();
    final Clock clock = Clock.system();
    final List<String> acknowledgedIds = new CopyOnWriteArrayList<>();
    final List<String> fallbackIds = new CopyOnWriteArrayList<>();
    final EventLoopLag eventLoopLag = new EventLoopLag(
            (micros, task) -> {
                var timer = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
                return () -> timer.cancel(false);
            },
            clock);
    volatile boolean hasDeduplicationRoom = true;

    /** A deduplicator in memory. */
    final Deduplicator deduplicator = new Deduplicator() {
        private final Set<String> ids = new HashSet<>();

        @Override
        public synchronized boolean contains(String id) {
            return ids.contains(id);
        }

        @Override
        public boolean hasCapacity() {
            return hasDeduplicationRoom;
        }

        @Override
        public synchronized void add(String id) {
            ids.add(id);
        }
    };

    @AfterEach
    void endLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    static MessageMapping mapping() {
        return new MessageMapping(
                List.of(new MessageMapping.Rule(
                        null,
                        ValueSource.of("property:message-id"),
                        ValueSource.of("property:type"),
                        ValueSource.of("header:tenant"),
                        ValueSource.of("header:key"),
                        ValueSource.of("routing-key"),
                        ValueSource.of("property:expiration"))),
                List.of(
                        new RequestClass(
                                "unsafe",
                                Idempotency.NON_IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND_MICROS,
                                8 * SECOND_MICROS,
                                1,
                                0,
                                false),
                        new RequestClass(
                                "any",
                                Idempotency.IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND_MICROS,
                                8 * SECOND_MICROS,
                                1,
                                0,
                                false)));
    }

    /** A completed message with a reply queue. */
    static Message completedMessage(String id, String queue, Message.Completion.Kind kind) {
        Message message = new Message(
                1,
                new Message.Content(
                        id, "unsafe", null, null, 0, 7, new byte[0], new Message.Reply("front", queue, null)));
        message.complete(new Message.Completion(kind, 0));
        return message;
    }

    void onLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }
}
