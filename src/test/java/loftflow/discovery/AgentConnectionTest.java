package loftflow.discovery;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loftflow.fake.ScriptedPeer;
import loftflow.server.KernelSocketState;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the connection to the agent with failing sockets, late responses and responses without a request. */
class AgentConnectionTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    /** The number of sockets still to fail. */
    private final AtomicInteger socketFailures = new AtomicInteger();

    private final List<Integer> statuses = new CopyOnWriteArrayList<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Channel createSocket() {
        if (socketFailures.getAndDecrement() > 0) {
            throw new IllegalStateException("too many open files");
        }
        return new NioSocketChannel();
    }

    private static InetSocketAddress addressOf(ScriptedPeer peer) {
        return new InetSocketAddress("127.0.0.1", peer.port());
    }

    private void request(AgentConnection agent) {
        agent.request(HttpMethod.GET, "/", "", 5000, (status, body) -> statuses.add(status));
    }

    @Test
    void moveRightAfterAFailedSocketCreationTakesEffect() throws Exception {
        try (ScriptedPeer old = ScriptedPeer.always(ScriptedPeer.status(200));
                ScriptedPeer next = ScriptedPeer.always(ScriptedPeer.status(200))) {
            socketFailures.set(1);
            AgentConnection agent = new AgentConnection(loop, addressOf(old), this::createSocket);
            loop.submit(() -> {
                        request(agent);
                        agent.moveTo(addressOf(next));
                        request(agent);
                    })
                    .sync();
            await(() -> statuses.size() == 2);
            assertEquals(List.of(0, 200), statuses);
            assertEquals(0, old.requests.size());
        }
    }

    @Test
    void failedSocketCreationEndsOneRequestOnTheEventLoop() throws Exception {
        try (ScriptedPeer peer = ScriptedPeer.always(ScriptedPeer.status(200))) {
            socketFailures.set(1);
            AgentConnection agent = new AgentConnection(loop, addressOf(peer), this::createSocket);
            List<Boolean> wasOnLoop = new CopyOnWriteArrayList<>();
            loop.submit(() -> agent.request(HttpMethod.GET, "/", "", 5000, (status, body) -> {
                        wasOnLoop.add(loop.inEventLoop());
                        request(agent);
                    }))
                    .sync();
            await(() -> statuses.size() == 1);
            assertEquals(List.of(true), wasOnLoop);
            assertEquals(List.of(200), statuses);
        }
    }

    /**
     * A response is still unread in the socket when its request times out, because the event loop was busy. It is read,
     * and the connection serves the next request.
     */
    @Test
    void responsePendingInTheSocketAtTheTimeoutIsRead() throws Exception {
        CountDownLatch agentMayRespond = new CountDownLatch(1);
        try (ScriptedPeer peer = new ScriptedPeer(request -> {
            try {
                agentMayRespond.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            return ScriptedPeer.status(200);
        })) {
            AgentConnection agent = new AgentConnection(loop, addressOf(peer));
            loop.submit(() -> agent.request(HttpMethod.GET, "/", "", 300, (status, body) -> {
                        statuses.add(status);
                        request(agent);
                    }))
                    .sync();
            await(() -> peer.requests.size() == 1);
            loop.execute(() -> {
                // Both timers are due when the event loop runs them. It polls the socket before, without a response
                // yet.
                loop.schedule(
                        () -> {
                            agentMayRespond.countDown();
                            KernelSocketState.ofPeer(peer.connections.get(0)).awaitUnread();
                        },
                        0,
                        TimeUnit.MILLISECONDS);
                RelayProcess.blockThread(400);
            });
            await(() -> statuses.size() == 2);
            assertEquals(List.of(200, 200), statuses);
            assertEquals(1, peer.connections.size());
        }
    }

    /** A response without a request is not read as the response to the next request. */
    @Test
    void unsolicitedResponseIsNotReadAsTheNextResponse() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            AgentConnection agent = new AgentConnection(
                    loop, new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()));
            loop.submit(() -> request(agent)).sync();
            try (Socket first = listener.accept()) {
                first.getOutputStream()
                        .write("HTTP/1.1 204 X\r\n\r\nHTTP/1.1 204 X\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                await(() -> statuses.equals(List.of(204)));
                // The relay closes the connection, since later responses on it cannot be matched to requests.
                first.setSoTimeout(10_000);
                while (first.getInputStream().read() >= 0) {
                    Thread.onSpinWait();
                }
                loop.submit(() -> request(agent)).sync();
                try (Socket next = listener.accept()) {
                    next.getOutputStream()
                            .write("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    await(() -> statuses.equals(List.of(204, 404)));
                }
            }
        }
    }
}
