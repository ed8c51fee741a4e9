package loftflow.completion;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import loftflow.engine.Message;
import loftflow.fake.ScriptedPeer;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Notices to a platform that is unreachable, slow or rejects a notice as malformed. */
class HttpCompletionNotifierTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static InetSocketAddress addressOf(ScriptedPeer peer) {
        return new InetSocketAddress("127.0.0.1", peer.port());
    }

    /** Creates a notifier that adds the id of each acknowledged message to a list. */
    private HttpCompletionNotifier notifier(InetSocketAddress platform, List<String> acknowledged) {
        return new HttpCompletionNotifier(
                loop, platform, message -> acknowledged.add(message.content().messageId()), () -> {});
    }

    @Test
    void failedAcknowledgementDoesNotStopLaterNotices() throws IOException {
        try (ScriptedPeer platform = ScriptedPeer.always(ScriptedPeer.status(204))) {
            List<String> acknowledged = new ArrayList<>();
            HttpCompletionNotifier notifier = new HttpCompletionNotifier(
                    loop,
                    addressOf(platform),
                    message -> {
                        if (message.number() == 1) {
                            throw new IllegalStateException("broken");
                        }
                        acknowledged.add(message.content().messageId());
                    },
                    () -> {});
            loop.execute(() -> notifier.notifyCompletion(completed(1)));
            await(() -> platform.count("POST") == 1);
            loop.execute(() -> notifier.notifyCompletion(completed(2)));
            await(() -> acknowledged.size() == 1);
            assertEquals(List.of("m2"), acknowledged);
        }
    }

    /** The notice was lost: a copy acknowledged it, and the agent ended the connection without reading it. */
    @Test
    void noticeBehindACopiedAcknowledgementReachesTheAgent() throws Exception {
        int count = 200;
        Set<String> received = ConcurrentHashMap.newKeySet();
        try (ScriptedPeer platform = ScriptedPeer.always(ScriptedPeer.status(204))) {
            platform.answer(request -> {
                receiveNotices(request.body(), received);
                return platform.count("POST") % 2 == 0 ? acknowledgeTwice(platform) : ScriptedPeer.status(204);
            });
            List<String> acknowledged = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notifier = notifier(addressOf(platform), acknowledged);
            for (int i = 0; i < count; i++) {
                Message message = completed(i);
                loop.execute(() -> notifier.notifyCompletion(message));
                TimeUnit.MILLISECONDS.sleep(1);
            }
            await(() -> acknowledged.size() == count);
            assertEquals(Set.copyOf(acknowledged), received);
        }
    }

    /** A notice was taken as read, or dropped, on a response whose length did not fit. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 204 X\r\n\r\nunread",
                "HTTP/1.1 204 X\r\n\r\nunread\r\n\r\n",
                "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nunread",
                "HTTP/1.1 400 X\r\nContent-Length: 2\r\n\r\nunread",
                "HTTP/1.1 400 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nunread",
            })
    void responseFollowedByOtherBytesAcknowledgesNothing(String response) throws IOException {
        try (ScriptedPeer platform = ScriptedPeer.always(response)) {
            List<String> acknowledged = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notifier = notifier(addressOf(platform), acknowledged);
            loop.execute(() -> notifier.notifyCompletion(completed(1)));
            await(() -> platform.count("POST") > 2);
            assertEquals(List.of(), acknowledged);
            platform.answer(request -> "HTTP/1.1 204 X\r\n\r\n");
            await(() -> acknowledged.equals(List.of("m1")));
        }
    }

    private static String acknowledgeTwice(ScriptedPeer platform) {
        Socket connection = platform.connections.get(platform.connections.size() - 1);
        for (int i = 0; i < 2; i++) {
            try {
                connection.getOutputStream().write(ScriptedPeer.status(204).getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The notifier has closed the connection.
            }
            RelayProcess.blockThread(3);
        }
        return ScriptedPeer.CLOSE;
    }

    private static void receiveNotices(String body, Set<String> received) {
        Matcher notice = Pattern.compile("\"ref\":\"([^\"]*)\"").matcher(body);
        while (notice.find()) {
            received.add(notice.group(1));
        }
    }

    /** If the platform rejects a batch for one malformed notice, that one is dropped and the others acknowledged. */
    @Test
    void malformedNoticeIsDropped() throws Exception {
        List<String> received = new CopyOnWriteArrayList<>();
        try (ScriptedPeer platform = new ScriptedPeer(request -> {
            if (request.body().contains("m17\"")) {
                return ScriptedPeer.status(400);
            }
            request.body().lines().forEach(line -> received.add(line.split("\"")[3]));
            return ScriptedPeer.status(204);
        })) {
            List<String> acknowledged = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notifier = notifier(addressOf(platform), acknowledged);
            loop.submit(() -> IntStream.range(0, 250).forEach(i -> notifier.notifyCompletion(completed(i))))
                    .sync();
            await(() -> acknowledged.size() == 250);
            assertEquals(249, received.stream().distinct().count(), "the platform reads all other notices");
            assertFalse(received.contains("m17"));
            assertEquals(250, acknowledged.stream().distinct().count(), "the dropped notice is acknowledged too");
            assertTrue(platform.requests.size() < 40, "requests: " + platform.requests.size());
        }
    }

    /**
     * A notice must be acknowledged even if there is no connection yet and each iteration of the event loop takes
     * longer than the time-out of a notice.
     */
    @Test
    void noticeIsAcknowledgedAlthoughEachLoopIterationExceedsItsTimeout() throws Exception {
        try (ScriptedPeer platform = ScriptedPeer.always(ScriptedPeer.status(204))) {
            List<String> acknowledged = new CopyOnWriteArrayList<>();
            HttpCompletionNotifier notifier = notifier(addressOf(platform), acknowledged);
            loop.submit(() -> {
                        notifier.notifyCompletion(completed(1));
                        delayIterations(acknowledged);
                    })
                    .sync();
            await(() -> acknowledged.size() == 1);
        }
    }

    /**
     * Blocks the event loop at the end of each iteration, as a lack of CPU time would, until a notice is acknowledged.
     */
    private void delayIterations(List<String> acknowledged) {
        loop.execute(() -> {
            RelayProcess.blockThread(150);
            if (acknowledged.isEmpty()) {
                loop.schedule(() -> delayIterations(acknowledged), 0, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** An agent that is about to move to another address serves its open connections but accepts no new ones. */
    @Test
    void noticeIsAcknowledgedWhileTheAgentAcceptsNoConnections() throws Exception {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(10_000);
        List<String> acknowledged = new CopyOnWriteArrayList<>();
        InetSocketAddress address = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
        HttpCompletionNotifier notifier = notifier(address, acknowledged);
        loop.execute(notifier::start);
        try (Socket connection = listener.accept()) {
            listener.close();
            loop.execute(() -> notifier.notifyCompletion(completed(1)));
            String first = new BufferedReader(
                            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            assertEquals("POST /status HTTP/1.1", first);
            connection.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            await(() -> acknowledged.equals(List.of("m1")));
        }
    }

    /**
     * While there is no connection, the callback runs even if there is no notice to send, so that a new address can be
     * read from the configuration.
     */
    @Test
    void unreachablePlatformIsReportedUntilAConnectionIsOpen() throws Exception {
        int port;
        try (ScriptedPeer closed = ScriptedPeer.always(ScriptedPeer.status(204))) {
            port = closed.port();
        }
        AtomicInteger reports = new AtomicInteger();
        try (ScriptedPeer next = ScriptedPeer.always(ScriptedPeer.status(204))) {
            HttpCompletionNotifier notifier = new HttpCompletionNotifier(
                    loop, new InetSocketAddress("127.0.0.1", port), message -> {}, reports::incrementAndGet);
            loop.execute(notifier::start);
            await(() -> reports.get() >= 2);
            loop.execute(() -> notifier.moveTo(addressOf(next)));
            await(() -> !next.connections.isEmpty());
            assertEquals(0, next.requests.size());
        }
    }

    private static Message completed(long number) {
        Message message = new Message(number, new Message.Content("m" + number, "safe", null, null, 0, 7, new byte[0]));
        message.complete(new Message.Completion(Message.Completion.Kind.FAILED, 0));
        return message;
    }
}
