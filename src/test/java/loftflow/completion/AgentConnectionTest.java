package loftflow.completion;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import loftflow.discovery.AgentConnection;
import loftflow.engine.Message;
import loftflow.fake.ScriptedPeer;
import loftflow.server.KernelSocketState;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The connection to discovery's agent, and the notices above it, where sockets or listeners fail. */
class AgentConnectionTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final AtomicInteger failures = new AtomicInteger();
    private final List<Integer> answers = new CopyOnWriteArrayList<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Channel socket() {
        if (failures.getAndDecrement() > 0) {
            throw new IllegalStateException("no descriptor is left");
        }
        return new NioSocketChannel();
    }

    private static InetSocketAddress at(ScriptedPeer peer) {
        return new InetSocketAddress("127.0.0.1", peer.port());
    }

    private void ask(AgentConnection agent) {
        agent.request(HttpMethod.GET, "/", "", 5000, (status, body) -> answers.add(status));
    }

    @Test
    void moveRightAfterASocketThatCouldNotBeOpenedIsCarriedOut() throws Exception {
        try (ScriptedPeer old = ScriptedPeer.always(ScriptedPeer.status(200));
                ScriptedPeer next = ScriptedPeer.always(ScriptedPeer.status(200))) {
            failures.set(1);
            AgentConnection agent = new AgentConnection(loop, at(old), this::socket);
            loop.submit(() -> {
                        ask(agent);
                        agent.moveTo(at(next));
                        ask(agent);
                    })
                    .sync();
            await(() -> answers.size() == 2);
            assertEquals(List.of(0, 200), answers);
            assertEquals(0, old.requests.size());
        }
    }

    @Test
    void socketThatCouldNotBeOpenedEndsOneRequestOnTheLoop() throws Exception {
        try (ScriptedPeer peer = ScriptedPeer.always(ScriptedPeer.status(200))) {
            failures.set(1);
            AgentConnection agent = new AgentConnection(loop, at(peer), this::socket);
            List<Boolean> onLoop = new CopyOnWriteArrayList<>();
            loop.submit(() -> agent.request(HttpMethod.GET, "/", "", 5000, (status, body) -> {
                        onLoop.add(loop.inEventLoop());
                        ask(agent);
                    }))
                    .sync();
            await(() -> answers.size() == 1);
            assertEquals(List.of(true), onLoop);
            assertEquals(List.of(200), answers);
        }
    }

    @Test
    void oneEndThatCannotBeCarriedOutDoesNotStopLaterNotices() throws IOException {
        try (ScriptedPeer platform = ScriptedPeer.always(ScriptedPeer.status(204))) {
            List<String> heard = new ArrayList<>();
            HttpCompletionNotifier notices = new HttpCompletionNotifier(
                    loop,
                    at(platform),
                    message -> {
                        if (message.number() == 1) {
                            throw new IllegalStateException("broken");
                        }
                        heard.add(message.content().messageId());
                    },
                    () -> {});
            loop.execute(() -> notices.notifyCompletion(ended(1)));
            await(() -> platform.count("POST") == 1);
            loop.execute(() -> notices.notifyCompletion(ended(2)));
            await(() -> heard.size() == 1);
            assertEquals(List.of("m2"), heard);
        }
    }

    /** One line of a hundred can't be read: it is set apart, and the others are told. */
    @Test
    void noticeThatThePlatformCannotReadIsSetApart() throws Exception {
        List<String> told = new CopyOnWriteArrayList<>();
        try (ScriptedPeer platform = new ScriptedPeer(request -> {
            if (request.body().contains("m17\"")) {
                return ScriptedPeer.status(400);
            }
            request.body().lines().forEach(line -> told.add(line.split("\"")[3]));
            return ScriptedPeer.status(204);
        })) {
            List<String> heard = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notices = new HttpCompletionNotifier(
                    loop, at(platform), message -> heard.add(message.content().messageId()), () -> {});
            loop.submit(() -> IntStream.range(0, 250).forEach(i -> notices.notifyCompletion(ended(i))))
                    .sync();
            await(() -> heard.size() == 250);
            assertEquals(249, told.stream().distinct().count(), "all but one were read");
            assertFalse(told.contains("m17"));
            assertEquals(250, heard.stream().distinct().count(), "and nothing is asked for ever");
            assertTrue(platform.requests.size() < 40, "requests: " + platform.requests.size());
        }
    }

    /**
     * Each pass of the loop takes longer than a notice may, and there is no connection yet: it is told all the same.
     */
    @Test
    void noticeIsToldByALoopWhosePassesTakeLongerThanItMay() throws Exception {
        try (ScriptedPeer platform = ScriptedPeer.always(ScriptedPeer.status(204))) {
            List<String> heard = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notices = new HttpCompletionNotifier(
                    loop, at(platform), message -> heard.add(message.content().messageId()), () -> {});
            loop.submit(() -> {
                        notices.notifyCompletion(ended(1));
                        endPassesLate(heard);
                    })
                    .sync();
            await(() -> heard.size() == 1);
        }
    }

    /**
     * As for want of CPU, until something is heard: behind all that a pass does, and ahead of the next look at the
     * sockets.
     */
    private void endPassesLate(List<String> heard) {
        loop.execute(() -> {
            RelayProcess.hold(150);
            if (heard.isEmpty()) {
                loop.schedule(() -> endPassesLate(heard), 0, TimeUnit.MILLISECONDS);
            }
        });
    }

    /**
     * The answer lies unread when its request's time is up, as the loop was at something else: it counts, and so does
     * the next one.
     */
    @Test
    void answerThatLiesUnreadWhenItsRequestIsGivenUpCounts() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        try (ScriptedPeer peer = new ScriptedPeer(request -> {
            try {
                gate.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            return ScriptedPeer.status(200);
        })) {
            AgentConnection agent = new AgentConnection(loop, at(peer));
            loop.submit(() -> agent.request(HttpMethod.GET, "/", "", 300, (status, body) -> {
                        answers.add(status);
                        ask(agent);
                    }))
                    .sync();
            await(() -> peer.requests.size() == 1);
            loop.execute(() -> {
                // Both timers are due before the loop looks at them; the socket is looked at before, and holds nothing
                // yet.
                loop.schedule(
                        () -> {
                            gate.countDown();
                            KernelSocketState.beyond(peer.connections.get(0)).awaitUnread();
                        },
                        0,
                        TimeUnit.MILLISECONDS);
                RelayProcess.hold(400);
            });
            await(() -> answers.size() == 2);
            assertEquals(List.of(200, 200), answers);
            assertEquals(1, peer.connections.size());
        }
    }

    /** An answer that nobody asked for is not the next request's: what that brings is told by its own. */
    @Test
    void answerThatNobodyAskedForIsNotTheNextOnes() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            AgentConnection agent = new AgentConnection(
                    loop, new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()));
            loop.submit(() -> ask(agent)).sync();
            try (Socket first = listener.accept()) {
                first.getOutputStream()
                        .write("HTTP/1.1 204 X\r\n\r\nHTTP/1.1 204 X\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                await(() -> answers.equals(List.of(204)));
                // The relay closes it, as what comes on it can't be told apart any more.
                first.setSoTimeout(10_000);
                while (first.getInputStream().read() >= 0) {
                    Thread.onSpinWait();
                }
                loop.submit(() -> ask(agent)).sync();
                try (Socket next = listener.accept()) {
                    next.getOutputStream()
                            .write("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    await(() -> answers.equals(List.of(204, 404)));
                }
            }
        }
    }

    /** The agent serves on what it has and takes no new connection, some seconds before the new address is told. */
    @Test
    void noticeIsToldWhileTheAgentTakesNoNewConnections() throws Exception {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(10_000);
        List<String> heard = new CopyOnWriteArrayList<>();
        HttpCompletionNotifier notices = new HttpCompletionNotifier(
                loop,
                new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()),
                message -> heard.add(message.content().messageId()),
                () -> {});
        loop.execute(notices::start);
        try (Socket kept = listener.accept()) {
            listener.close();
            loop.execute(() -> notices.notifyCompletion(ended(1)));
            String first = new BufferedReader(new InputStreamReader(kept.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            assertEquals("POST /status HTTP/1.1", first);
            kept.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            await(() -> heard.equals(List.of("m1")));
        }
    }

    /**
     * Whoever can look for the platform's new address is told while there is no connection, also where nothing is to be
     * told.
     */
    @Test
    void platformThatCannotBeReachedIsToldOfUntilItCan() throws Exception {
        int port;
        try (ScriptedPeer gone = ScriptedPeer.always(ScriptedPeer.status(204))) {
            port = gone.port();
        }
        AtomicInteger told = new AtomicInteger();
        try (ScriptedPeer next = ScriptedPeer.always(ScriptedPeer.status(204))) {
            HttpCompletionNotifier notices = new HttpCompletionNotifier(
                    loop, new InetSocketAddress("127.0.0.1", port), message -> {}, told::incrementAndGet);
            loop.execute(notices::start);
            await(() -> told.get() >= 2);
            loop.execute(() -> notices.moveTo(at(next)));
            await(() -> !next.connections.isEmpty());
            assertEquals(0, next.requests.size());
        }
    }

    private static Message ended(long number) {
        Message message = new Message(number, new Message.Content("m" + number, "safe", null, null, 0, 7, new byte[0]));
        message.complete(new Message.Completion(false, 0));
        return message;
    }
}
