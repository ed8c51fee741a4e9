package pipitstage.front.amqp;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import pipitstage.Policy;
import pipitstage.amqp.mapping.Mapping;
import pipitstage.amqp.mapping.Source;
import pipitstage.duplicates.Seen;
import pipitstage.engine.Clock;
import pipitstage.engine.Message;
import pipitstage.engine.Pulse;
import pipitstage.front.FakeIntake;

/** What tests of both ways in need: an event loop, an intake that the test answers for, and a memory. */
abstract class FrontTestBase {
    static final long SECOND = 1_000_000;
    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = (EventLoop) group.next();
    final FakeIntake intake = new FakeIntake();
    final Clock clock = Clock.system();
    final List<String> heard = new CopyOnWriteArrayList<>();
    final List<String> otherwise = new CopyOnWriteArrayList<>();
    final Pulse pulse = new Pulse(
            (micros, task) -> {
                var timer = loop.schedule(task, micros, TimeUnit.MICROSECONDS);
                return () -> timer.cancel(false);
            },
            clock);
    volatile boolean room = true;

    /** A memory that lasts as long as the test. */
    final Seen seen = new Seen() {
        private final Set<String> ids = new HashSet<>();

        @Override
        public synchronized boolean contains(String id) {
            return ids.contains(id);
        }

        @Override
        public boolean hasRoom() {
            return room;
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

    static Mapping mapping() {
        return new Mapping(
                List.of(new Mapping.Rule(
                        null,
                        Source.of("property:message-id"),
                        Source.of("property:type"),
                        Source.of("header:tenant"),
                        Source.of("header:key"),
                        Source.of("routing-key"),
                        Source.of("property:expiration"))),
                List.of(
                        new Policy.RequestClass(
                                "unsafe", Policy.Repeat.ONCE, Policy.KeyScope.ALL, 0, SECOND, 8 * SECOND, 1, 0, false),
                        new Policy.RequestClass(
                                "any",
                                Policy.Repeat.REPEATABLE,
                                Policy.KeyScope.ALL,
                                0,
                                SECOND,
                                8 * SECOND,
                                1,
                                0,
                                false)));
    }

    /** A message whose end is to be told to a queue. */
    static Message ended(String id, String queue, Message.End.Kind kind) {
        Message message = new Message(
                1,
                new Message.Content(
                        id, "unsafe", null, null, 0, 7, new byte[0], new Message.Reply("front", queue, null)));
        message.decide(new Message.End(kind, 0));
        return message;
    }

    void on(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }
}
