package loftflow.upstream.amqp;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import javax.net.ssl.KeyManagerFactory;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.engine.Clock;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.PublishOutcome;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.server.RelayProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The table of outcomes in docs/operators/amqp.md, row by row, with a fake broker. */
@Timeout(60)
class BrokerClientTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long CONNECT_TIMEOUT_MICROS = SECOND_MICROS;
    private static final String ROUTE = "r0";

    /** The outcome of an attempt or a probe. */
    private record Completion(AttemptOutcome outcome, boolean isMessageCompleted, long retryAfterMicros) {}

    @TempDir
    Path folder;

    private final Map<String, Completion> completions = new ConcurrentHashMap<>();
    private final Set<String> lateDeliveries = ConcurrentHashMap.newKeySet();
    private final List<Completion> probeCompletions = new java.util.concurrent.CopyOnWriteArrayList<>();
    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;
    private FakeBroker broker;
    private BrokerClient client;

    @BeforeEach
    void prepare() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        broker = new FakeBroker();
        broker.bind("orders", "direct", "k", "q");
        client(login("guest"), null, broker.address());
    }

    @AfterEach
    void end() {
        broker.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static AmqpClientConnection.Login login(String password) {
        return new AmqpClientConnection.Login("guest", password, "/", 1);
    }

    private void client(AmqpClientConnection.Login login, SslContext tls, String address) throws Exception {
        client = new BrokerClient(
                loop,
                Clock.system(),
                CONNECT_TIMEOUT_MICROS,
                Map.of(ROUTE, new BrokerDestination(login, "orders", "k", tls, null)),
                new UpstreamClient.ResultListener() {
                    @Override
                    public void onAttemptCompleted(
                            Message.Attempt attempt,
                            AttemptOutcome result,
                            boolean over,
                            long wait,
                            LimitReport report) {
                        Completion before = completions.put(
                                attempt.message().content().messageId(), new Completion(result, over, wait));
                        if (before != null) {
                            throw new AssertionError("it had an outcome before: " + before);
                        }
                    }

                    @Override
                    public void onRetryAfter(String route, long wait) {}

                    @Override
                    public void onOutcomeDisproved(Message.Attempt attempt) {
                        throw new AssertionError("a confirm has a tag");
                    }

                    @Override
                    public void onLateDelivery(Message.Attempt attempt, boolean isCounted) {
                        lateDeliveries.add(attempt.message().content().messageId());
                    }

                    @Override
                    public void onProbeCompleted(
                            String route, AttemptOutcome result, long wait, long elapsed, LimitReport report) {
                        probeCompletions.add(new Completion(result, false, wait));
                    }
                });
        list(Availability.LISTED, address);
    }

    private void list(Availability availability, String address) throws Exception {
        loop.submit(() -> client.onEndpointList(
                        EndpointListKind.FULL,
                        List.of(new Endpoint(
                                new EndpointEntry(ROUTE, 7, "k", "b0", availability, 0), Endpoint.address(address)))))
                .sync();
    }

    @Test
    void attemptPastItsLatestArrivalEndsAsNotSent() throws Exception {
        sendWithLatestArrival(0, 9 * SECOND_MICROS, 1, "late");
        send("next");
        assertEquals(AttemptOutcome.OK, outcomeOf("next"));
        assertEquals(new Completion(AttemptOutcome.NOT_SENT, false, 0), completionOf("late"));
        assertEquals(
                List.of("next"),
                broker.postings().stream().map(FakeBroker.Posting::id).toList());
    }

    /** A message that ended while its publish waited for the connection was published all the same. */
    @Test
    void messageThatEndsWhileItsPublishWaitsForTheConnectionIsNotSent() throws Exception {
        loop.submit(() -> {
                    long now = Clock.system().micros();
                    Message message = new Message(
                            1,
                            new Message.Content(
                                    "ended", "unsafe", null, null, now + 30 * SECOND_MICROS, 7, new byte[1]));
                    client.send(
                            ROUTE,
                            List.of(new UpstreamClient.OutboundAttempt(
                                    message.addAttempt(ROUTE, now), 9 * SECOND_MICROS, Long.MAX_VALUE)));
                    message.complete(new Message.Completion(Message.Completion.Kind.FAILED, 0));
                })
                .sync();
        send("next");
        assertEquals(AttemptOutcome.OK, outcomeOf("next"));
        assertEquals(new Completion(AttemptOutcome.NOT_SENT, false, 0), completionOf("ended"));
        assertEquals(
                List.of("next"),
                broker.postings().stream().map(FakeBroker.Posting::id).toList());
    }

    private void send(long timeoutMicros, int bodyBytes, String... ids) {
        sendWithLatestArrival(Long.MAX_VALUE, timeoutMicros, bodyBytes, ids);
    }

    private void sendWithLatestArrival(long latestArrivalMicros, long timeoutMicros, int bodyBytes, String... ids) {
        loop.execute(() -> {
            for (String id : ids) {
                long now = Clock.system().micros();
                Message message = new Message(
                        1,
                        new Message.Content(
                                id, "unsafe", null, "key-" + id, now + 30 * SECOND_MICROS, 7, new byte[bodyBytes]));
                client.send(
                        ROUTE,
                        List.of(new UpstreamClient.OutboundAttempt(
                                message.addAttempt(ROUTE, now), timeoutMicros, latestArrivalMicros)));
            }
        });
    }

    private void send(String... ids) {
        send(20 * SECOND_MICROS, 10, ids);
    }

    private Completion completionOf(String id) {
        await(() -> completions.containsKey(id));
        return completions.get(id);
    }

    private AttemptOutcome outcomeOf(String id) {
        return completionOf(id).outcome();
    }

    private void awaitPosted(String id) {
        await(() -> isPosted(id));
    }

    /**
     * Sends messages with new ids until the broker has one. An earlier one may meet a connection that the broker has
     * closed and the client has not, and then ends as never run.
     */
    private String sendUntilPosted(String prefix) {
        int[] tries = new int[1];
        await(() -> {
            String id = prefix + tries[0]++;
            send(id);
            await(() -> completions.containsKey(id) || isPosted(id));
            return isPosted(id);
        });
        return prefix + (tries[0] - 1);
    }

    private boolean isPosted(String id) {
        return broker.postings().stream().anyMatch(p -> p.id().equals(id));
    }

    @Test
    void ackMeansDeliveredAndThePublishHasItsProperties() {
        send("a");
        assertEquals(new Completion(AttemptOutcome.OK, true, 0), completionOf("a"));
        FakeBroker.Posting posting = broker.postings().get(0);
        assertEquals("key-a", posting.key());
        assertEquals(2, posting.properties().number(Property.DELIVERY_MODE));
        long left = Long.parseLong(posting.properties().text(Property.EXPIRATION));
        assertTrue(left > 25_000 && left <= 30_000, "milliseconds of the deadline: " + left);
        assertEquals("unsafe", posting.properties().text(Property.TYPE));
    }

    @Test
    void emptyAndLargeBodiesArriveComplete() {
        send(20 * SECOND_MICROS, 0, "empty");
        send(20 * SECOND_MICROS, (64 << 10) + 1, "large");
        assertEquals(AttemptOutcome.OK, outcomeOf("empty"));
        assertEquals(AttemptOutcome.OK, outcomeOf("large"));
        assertEquals(
                List.of(0, (64 << 10) + 1),
                broker.postings().stream().map(p -> p.body().length).toList());
    }

    @Test
    void returnedPublishNeverRan() {
        broker.remove("q");
        send("a");
        assertEquals(new Completion(AttemptOutcome.NOT_SENT, false, 0), completionOf("a"));
        broker.bind("orders", "direct", "k", "q");
        send("b");
        assertEquals(AttemptOutcome.OK, outcomeOf("b"));
        assertEquals(1, broker.connections(), "the connection goes on");
    }

    /** Guards against an unroutable publish that counts as delivered where its return lost its tag. */
    @Test
    void returnedPublishNeverRanThoughItsReturnLostAllProperties() {
        broker.returnWith(properties -> Properties.NONE);
        returnedPublishNeverRan();
    }

    /** A return without properties leaves it open which of two publishes it is for, whatever confirms follow. */
    @Test
    void returnWithoutPropertiesLeavesOpenPublishesUnknown() {
        Completion unknown = new Completion(AttemptOutcome.RESET, false, 0);
        broker.returnWith(properties -> Properties.NONE);
        publishOneAndHaveAnotherReturned();
        assertEquals(unknown, completionOf("routed"));
        assertEquals(unknown, completionOf("returned"));
        broker.bind("orders", "direct", "k", "q");
        broker.setOutcome(PublishOutcome.CONFIRM_LATE);
        send("later");
        assertEquals(AttemptOutcome.OK, outcomeOf("later"));
        assertEquals(Set.of(), lateDeliveries);
    }

    @Test
    void returnThatLostItsTagIsForTheMessageThatItNames() {
        broker.returnWith(properties -> properties.with(Property.HEADERS, Map.of()));
        publishOneAndHaveAnotherReturned();
        assertEquals(new Completion(AttemptOutcome.NOT_SENT, false, 0), completionOf("returned"));
        assertEquals(AttemptOutcome.OK, outcomeOf("routed"));
    }

    /** The confirm of the first message follows the return of the second. */
    private void publishOneAndHaveAnotherReturned() {
        broker.lateBy(500);
        broker.setOutcome(PublishOutcome.CONFIRM_LATE);
        send("routed");
        awaitPosted("routed");
        broker.remove("q");
        broker.setOutcome(PublishOutcome.CONFIRM);
        send("returned");
    }

    @Test
    void nackedPublishMayHaveRun() {
        broker.setOutcome(PublishOutcome.NACK);
        send("a");
        assertEquals(new Completion(AttemptOutcome.ERROR, false, 0), completionOf("a"));
    }

    @Test
    void multipleAndUnorderedConfirms() {
        broker.setOutcomes(id -> id.equals("a")
                ? PublishOutcome.CONFIRM_WITH_NEXT
                : id.equals("c") ? PublishOutcome.CONFIRM_AFTER_NEXT : PublishOutcome.CONFIRM);
        send("a", "b", "c", "d");
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals(AttemptOutcome.OK, outcomeOf(id), id);
        }
    }

    @Test
    void channelClosedBeforeTheConfirmLeavesAllUnknown() {
        broker.setOutcomes(id -> id.equals("b") ? PublishOutcome.CLOSE_CHANNEL : PublishOutcome.NO_CONFIRM);
        send("a", "b", "c");
        for (String id : List.of("a", "b", "c")) {
            assertEquals(new Completion(AttemptOutcome.RESET, false, 0), completionOf(id), id);
        }
    }

    @Test
    void lostConnectionLeavesPublishesUnknown() {
        broker.setOutcome(PublishOutcome.CLOSE_CONNECTION);
        send("a");
        assertEquals(AttemptOutcome.RESET, outcomeOf("a"));
        broker.setOutcome(PublishOutcome.DROP_BEFORE);
        await(() -> broker.connected() == 0);
        send("b");
        assertEquals(AttemptOutcome.RESET, outcomeOf("b"));
        broker.setOutcome(PublishOutcome.DROP_AFTER);
        send("c");
        assertEquals(AttemptOutcome.RESET, outcomeOf("c"));
    }

    @Test
    void incompletelyWrittenPublishNeverRan() {
        send("first");
        assertEquals(AttemptOutcome.OK, outcomeOf("first"));
        broker.read(false);
        String[] ids = new String[400];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = "m" + i;
        }
        send(30 * SECOND_MICROS, 64 << 10, ids);
        // The broker reads nothing: the socket takes a part, and the rest stays in this process.
        loop.submit(() -> "passed").syncUninterruptibly();
        broker.drop();
        await(() -> completions.size() == ids.length + 1);
        Set<String> never = new HashSet<>();
        completions.forEach((id, e) -> {
            if (e.outcome() == AttemptOutcome.NOT_SENT) {
                never.add(id);
            }
        });
        assertTrue(never.size() > 50 && never.size() < ids.length, "never: " + never.size());
        completions.forEach((id, e) -> assertTrue(
                e.outcome() == AttemptOutcome.NOT_SENT || e.outcome() == AttemptOutcome.RESET || id.equals("first"),
                id + " " + e));
        broker.postings().forEach(p -> assertFalse(never.contains(p.id()), p.id()));
    }

    @Test
    void publishToAMissingExchangeNeverRanAndOthersAreUnknown() {
        broker.setOutcomes(id -> id.equals("b") ? PublishOutcome.NO_EXCHANGE : PublishOutcome.NO_CONFIRM);
        send("a", "b");
        assertEquals(AttemptOutcome.RESET, outcomeOf("a"));
        assertEquals(AttemptOutcome.NOT_SENT, outcomeOf("b"));
        sendUntilPosted("anew");
        assertEquals(1, broker.effects().get("a"), "it had run, so that unknown was correct");
    }

    @Test
    void blockedBrokerMeansBackOffAndNoPublishes() {
        send("a");
        assertEquals(AttemptOutcome.OK, outcomeOf("a"));
        broker.block(true);
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probeCompletions.stream()
                    .anyMatch(p -> p.outcome() == AttemptOutcome.REJECTED && p.retryAfterMicros() > 0);
        });
        send("b");
        assertEquals(new Completion(AttemptOutcome.REJECTED, false, SECOND_MICROS), completionOf("b"));
        broker.block(false);
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probeCompletions.get(probeCompletions.size() - 1).outcome() == AttemptOutcome.OK;
        });
        send("c");
        assertEquals(AttemptOutcome.OK, outcomeOf("c"));
        assertEquals(0, broker.publishesWhileBlocked());
        assertEquals(Set.of("a", "c"), broker.effects().keySet());
    }

    @Test
    void brokerBlockedAtConnectMeansBackOff() {
        broker.block(true);
        send("a");
        assertEquals(AttemptOutcome.REJECTED, outcomeOf("a"));
        assertEquals(0, broker.postings().size());
    }

    @Test
    void stoppedFlowMeansBackOff() {
        send("a");
        assertEquals(AttemptOutcome.OK, outcomeOf("a"));
        broker.say(1, Method.of(MethodType.CHANNEL_FLOW, false));
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probeCompletions.stream().anyMatch(p -> p.outcome() == AttemptOutcome.REJECTED);
        });
        send("b");
        assertEquals(AttemptOutcome.REJECTED, outcomeOf("b"));
        broker.say(1, Method.of(MethodType.CHANNEL_FLOW, true));
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probeCompletions.get(probeCompletions.size() - 1).outcome() == AttemptOutcome.OK;
        });
        send("c");
        assertEquals(AttemptOutcome.OK, outcomeOf("c"));
    }

    @Test
    void confirmForAnUnknownTagProvesNothing() {
        broker.setOutcome(PublishOutcome.NO_CONFIRM);
        send("a");
        awaitPosted("a");
        broker.say(1, Method.of(MethodType.BASIC_ACK, 99L, false));
        assertEquals(AttemptOutcome.RESET, outcomeOf("a"));
    }

    @Test
    void confirmOnAnotherChannelProvesNothing() {
        broker.setOutcome(PublishOutcome.NO_CONFIRM);
        send("a");
        awaitPosted("a");
        broker.say(2, Method.of(MethodType.BASIC_ACK, 1L, false));
        assertEquals(AttemptOutcome.RESET, outcomeOf("a"));
    }

    @Test
    void missingConfirmTimesOutAndALateOneIsReported() {
        broker.lateBy(600);
        broker.setOutcome(PublishOutcome.CONFIRM_LATE);
        send(200_000, 10, "a");
        assertEquals(AttemptOutcome.TIMEOUT, outcomeOf("a"));
        await(() -> lateDeliveries.contains("a"));
        assertEquals(1, completions.size());
    }

    @Test
    void cancelledPublishMayHaveRun() throws Exception {
        broker.setOutcome(PublishOutcome.NO_CONFIRM);
        Message message = new Message(
                1,
                new Message.Content(
                        "a", "unsafe", null, null, Clock.system().micros() + 9 * SECOND_MICROS, 7, new byte[1]));
        Message.Attempt attempt = message.addAttempt(ROUTE, Clock.system().micros());
        loop.submit(() -> client.send(
                        ROUTE, List.of(new UpstreamClient.OutboundAttempt(attempt, 9 * SECOND_MICROS, Long.MAX_VALUE))))
                .sync();
        awaitPosted("a");
        loop.submit(() -> client.cancel(attempt)).sync();
        assertEquals(AttemptOutcome.CANCELLED, outcomeOf("a"));
    }

    @Test
    void unreachableOrRefusingBrokerMeansConnectFailed() throws Exception {
        broker.shut();
        send("a");
        assertEquals(AttemptOutcome.CONNECT_FAILED, outcomeOf("a"));
        broker.open(false);
        client(login("wrong"), null, broker.address());
        send("b");
        assertEquals(AttemptOutcome.CONNECT_FAILED, outcomeOf("b"));
        try (ServerSocket mute = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            client(login("guest"), null, "127.0.0.1:" + mute.getLocalPort());
            send("c");
            assertEquals(AttemptOutcome.CONNECT_FAILED, outcomeOf("c"));
        }
    }

    @Test
    void lostHeartbeatLeavesUnconfirmedPublishesUnknown() {
        broker.heartbeatSeconds(1);
        broker.setOutcome(PublishOutcome.NO_CONFIRM);
        send("a");
        awaitPosted("a");
        broker.freeze(4_000);
        assertEquals(AttemptOutcome.RESET, outcomeOf("a"));
    }

    @Test
    void brokerRestartedWithoutState() throws Exception {
        broker.setOutcome(PublishOutcome.NO_CONFIRM);
        send("a");
        awaitPosted("a");
        broker.shut();
        assertEquals(AttemptOutcome.RESET, outcomeOf("a"));
        broker.setOutcome(PublishOutcome.CONFIRM);
        broker.open(true);
        send("b");
        assertEquals(AttemptOutcome.NOT_SENT, outcomeOf("b"), "its exchange is gone");
        broker.bind("orders", "direct", "k", "q");
        assertEquals(AttemptOutcome.OK, outcomeOf(sendUntilPosted("anew")));
    }

    @Test
    void drainingRouteIsSentNothing() throws Exception {
        list(Availability.DRAINING, broker.address());
        send("a");
        assertEquals(AttemptOutcome.NOT_SENT, outcomeOf("a"));
        assertEquals(0, broker.connections());
    }

    @Test
    void publishInFlightWhenItsRouteDrainsIsStillConfirmed() throws Exception {
        broker.lateBy(300);
        broker.setOutcome(PublishOutcome.CONFIRM_LATE);
        send("a");
        awaitPosted("a");
        list(Availability.DRAINING, broker.address());
        assertEquals(AttemptOutcome.OK, outcomeOf("a"));
        await(() -> broker.connected() == 0);
    }

    /**
     * Guards against an open timeout that counts the time in which the relay's own event loop is busy: the broker has
     * answered, and the message is published.
     */
    @Tag("known-red")
    @Test
    void connectionIsNotTimedOutWhileItsEventLoopIsBusy() {
        send("a");
        loop.execute(() -> RelayProcess.blockThread(CONNECT_TIMEOUT_MICROS / 1_000 + 200));
        assertEquals(AttemptOutcome.OK, outcomeOf("a"));
    }

    /** Guards against an open timeout that runs while the connection waits behind other tasks of its event loop. */
    @Test
    void connectionIsStartedAheadOfTasksThatWaitForTheEventLoop() {
        AtomicBoolean isBusy = new AtomicBoolean(true);
        loop.execute(() -> RelayProcess.blockThread(200));
        send("a");
        loop.execute(() -> {
            RelayProcess.blockThread(2_000);
            isBusy.set(false);
        });
        await(() -> broker.connections() == 1);
        assertTrue(isBusy.get(), "the broker was not connected to before the loop was idle");
        assertEquals(AttemptOutcome.OK, outcomeOf("a"));
    }

    @Test
    void tlsWithATrustedAndAnUntrustedCertificate() throws Exception {
        Path store = folder.resolve("store.p12");
        assertEquals(
                0,
                keytool(
                        "-genkeypair",
                        "-alias",
                        "b",
                        "-keyalg",
                        "RSA",
                        "-dname",
                        "CN=broker",
                        "-ext",
                        "san=ip:127.0.0.1",
                        "-storetype",
                        "PKCS12",
                        "-keystore",
                        store.toString(),
                        "-storepass",
                        "secret"));
        Path certificate = folder.resolve("cert.pem");
        assertEquals(
                0,
                keytool(
                        "-exportcert",
                        "-rfc",
                        "-alias",
                        "b",
                        "-keystore",
                        store.toString(),
                        "-storepass",
                        "secret",
                        "-file",
                        certificate.toString()));
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            keys.load(in, "secret".toCharArray());
        }
        KeyManagerFactory managers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        managers.init(keys, "secret".toCharArray());
        try (FakeBroker secure =
                new FakeBroker(SslContextBuilder.forServer(managers).build())) {
            secure.bind("orders", "direct", "k", "q");
            client(
                    login("guest"),
                    SslContextBuilder.forClient()
                            .trustManager(certificate.toFile())
                            .build(),
                    secure.address());
            send("a");
            assertEquals(AttemptOutcome.OK, outcomeOf("a"));
            client(login("guest"), SslContextBuilder.forClient().build(), secure.address());
            send("b");
            assertEquals(AttemptOutcome.CONNECT_FAILED, outcomeOf("b"));
            assertEquals(Set.of("a"), secure.effects().keySet());
        }
    }

    private static int keytool(String... arguments) throws Exception {
        List<String> line = new java.util.ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin/keytool").toString()));
        line.addAll(List.of(arguments));
        return new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }
}
