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
import javax.net.ssl.KeyManagerFactory;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.engine.Clock;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.Fate;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The table of outcomes in docs/operators/amqp.md, row by row, against the stand-in broker. */
@Timeout(60)
class BrokerClientTest {
    private static final long SECOND = 1_000_000;
    private static final long CONNECT = SECOND;
    private static final String ROUTE = "r0";

    /** What became of an attempt. */
    private record Ended(AttemptOutcome result, boolean over, long toldWait) {}

    @TempDir
    Path folder;

    private final Map<String, Ended> ended = new ConcurrentHashMap<>();
    private final Set<String> late = ConcurrentHashMap.newKeySet();
    private final List<Ended> probed = new java.util.concurrent.CopyOnWriteArrayList<>();
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
                CONNECT,
                Map.of(ROUTE, new BrokerDestination(login, "orders", "k", tls, null)),
                new UpstreamClient.ResultListener() {
                    @Override
                    public void onAttemptCompleted(
                            Message.Attempt attempt,
                            AttemptOutcome result,
                            boolean over,
                            long wait,
                            LimitReport report) {
                        Ended before =
                                ended.put(attempt.message().content().messageId(), new Ended(result, over, wait));
                        if (before != null) {
                            throw new AssertionError("it ended before as " + before);
                        }
                    }

                    @Override
                    public void onRetryAfter(String route, long wait) {}

                    @Override
                    public void onLateDelivery(Message.Attempt attempt) {
                        late.add(attempt.message().content().messageId());
                    }

                    @Override
                    public void onProbeCompleted(
                            String route, AttemptOutcome result, long wait, long elapsed, LimitReport report) {
                        probed.add(new Ended(result, false, wait));
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
    void attemptThatMayNotLeaveAnyMoreEndsAsNotSent() throws Exception {
        sendUntil(0, 9 * SECOND, 1, "late");
        send("next");
        assertEquals(AttemptOutcome.OK, result("next"));
        assertEquals(new Ended(AttemptOutcome.NOT_SENT, false, 0), outcome("late"));
        assertEquals(
                List.of("next"),
                broker.postings().stream().map(FakeBroker.Posting::id).toList());
    }

    private void send(long timeout, int body, String... ids) {
        sendUntil(Long.MAX_VALUE, timeout, body, ids);
    }

    private void sendUntil(long latest, long timeout, int body, String... ids) {
        loop.execute(() -> {
            for (String id : ids) {
                long now = Clock.system().micros();
                Message message = new Message(
                        1, new Message.Content(id, "unsafe", null, "key-" + id, now + 30 * SECOND, 7, new byte[body]));
                client.send(
                        ROUTE,
                        List.of(new UpstreamClient.OutboundAttempt(message.addAttempt(ROUTE, now), timeout, latest)));
            }
        });
    }

    private void send(String... ids) {
        send(20 * SECOND, 10, ids);
    }

    private Ended outcome(String id) {
        await(() -> ended.containsKey(id));
        return ended.get(id);
    }

    private AttemptOutcome result(String id) {
        return outcome(id).result();
    }

    private void awaitPosted(String id) {
        await(() -> isPosted(id));
    }

    /**
     * Sends anew, each time under another id, until the broker has one. Guards against a connection that the broker has
     * let
     * go of and the client is yet to: what meets it there has never run, and says so.
     */
    private String sendUntilPosted(String prefix) {
        int[] tries = new int[1];
        await(() -> {
            String id = prefix + tries[0]++;
            send(id);
            await(() -> ended.containsKey(id) || isPosted(id));
            return isPosted(id);
        });
        return prefix + (tries[0] - 1);
    }

    private boolean isPosted(String id) {
        return broker.postings().stream().anyMatch(p -> p.id().equals(id));
    }

    @Test
    void ackIsDeliveredAndThePublishCarriesWhatItShould() {
        send("a");
        assertEquals(new Ended(AttemptOutcome.OK, true, 0), outcome("a"));
        FakeBroker.Posting posting = broker.postings().get(0);
        assertEquals("key-a", posting.key());
        assertEquals(2, posting.properties().number(Property.DELIVERY_MODE));
        long left = Long.parseLong(posting.properties().text(Property.EXPIRATION));
        assertTrue(left > 25_000 && left <= 30_000, "milliseconds of the deadline: " + left);
        assertEquals("unsafe", posting.properties().text(Property.TYPE));
    }

    @Test
    void bodiesOfNoBytesAndOfManyFramesArriveWhole() {
        send(20 * SECOND, 0, "empty");
        send(20 * SECOND, (64 << 10) + 1, "large");
        assertEquals(AttemptOutcome.OK, result("empty"));
        assertEquals(AttemptOutcome.OK, result("large"));
        assertEquals(
                List.of(0, (64 << 10) + 1),
                broker.postings().stream().map(p -> p.body().length).toList());
    }

    @Test
    void returnedNeverRan() {
        broker.remove("q");
        send("a");
        assertEquals(new Ended(AttemptOutcome.NOT_SENT, false, 0), outcome("a"));
        broker.bind("orders", "direct", "k", "q");
        send("b");
        assertEquals(AttemptOutcome.OK, result("b"));
        assertEquals(1, broker.connections(), "the connection goes on");
    }

    @Test
    void nackMayHaveRun() {
        broker.be(Fate.NACK);
        send("a");
        assertEquals(new Ended(AttemptOutcome.ERROR, false, 0), outcome("a"));
    }

    @Test
    void confirmForSeveralAndOutOfOrder() {
        broker.script(id ->
                id.equals("a") ? Fate.CONFIRM_WITH_NEXT : id.equals("c") ? Fate.CONFIRM_AFTER_NEXT : Fate.CONFIRM);
        send("a", "b", "c", "d");
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals(AttemptOutcome.OK, result(id), id);
        }
    }

    @Test
    void channelThatClosesAheadOfTheConfirmLeavesAllUnknown() {
        broker.script(id -> id.equals("b") ? Fate.CLOSE_CHANNEL : Fate.SILENT);
        send("a", "b", "c");
        for (String id : List.of("a", "b", "c")) {
            assertEquals(new Ended(AttemptOutcome.RESET, false, 0), outcome(id), id);
        }
    }

    @Test
    void connectionThatClosesOrBreaksLeavesUnknown() {
        broker.be(Fate.CLOSE_CONNECTION);
        send("a");
        assertEquals(AttemptOutcome.RESET, result("a"));
        broker.be(Fate.DROP_BEFORE);
        await(() -> broker.connected() == 0);
        send("b");
        assertEquals(AttemptOutcome.RESET, result("b"));
        broker.be(Fate.DROP_AFTER);
        send("c");
        assertEquals(AttemptOutcome.RESET, result("c"));
    }

    @Test
    void whatWasNotWrittenWholeNeverRan() {
        send("first");
        assertEquals(AttemptOutcome.OK, result("first"));
        broker.read(false);
        String[] ids = new String[400];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = "m" + i;
        }
        send(30 * SECOND, 64 << 10, ids);
        // The broker reads nothing: the socket takes some of it, and the rest waits in this process.
        loop.submit(() -> "passed").syncUninterruptibly();
        broker.drop();
        await(() -> ended.size() == ids.length + 1);
        Set<String> never = new HashSet<>();
        ended.forEach((id, e) -> {
            if (e.result() == AttemptOutcome.NOT_SENT) {
                never.add(id);
            }
        });
        assertTrue(never.size() > 50 && never.size() < ids.length, "never: " + never.size());
        ended.forEach((id, e) -> assertTrue(
                e.result() == AttemptOutcome.NOT_SENT || e.result() == AttemptOutcome.RESET || id.equals("first"),
                id + " " + e));
        broker.postings().forEach(p -> assertFalse(never.contains(p.id()), p.id()));
    }

    @Test
    void missingExchangeNeverRanAndTheOthersOnItsChannelAreUnknown() {
        broker.script(id -> id.equals("b") ? Fate.NO_EXCHANGE : Fate.SILENT);
        send("a", "b");
        assertEquals(AttemptOutcome.RESET, result("a"));
        assertEquals(AttemptOutcome.NOT_SENT, result("b"));
        sendUntilPosted("anew");
        assertEquals(1, broker.effects().get("a"), "it had run, so that unknown was right");
    }

    @Test
    void blockedBrokerIsAWaitAndNothingIsPublishedMeanwhile() {
        send("a");
        assertEquals(AttemptOutcome.OK, result("a"));
        broker.block(true);
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probed.stream().anyMatch(p -> p.result() == AttemptOutcome.REJECTED && p.toldWait() > 0);
        });
        send("b");
        assertEquals(new Ended(AttemptOutcome.REJECTED, false, SECOND), outcome("b"));
        broker.block(false);
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probed.get(probed.size() - 1).result() == AttemptOutcome.OK;
        });
        send("c");
        assertEquals(AttemptOutcome.OK, result("c"));
        assertEquals(0, broker.waitsBroken());
        assertEquals(Set.of("a", "c"), broker.effects().keySet());
    }

    @Test
    void brokerThatBlocksAsSoonAsOneConnectsIsAWaitToo() {
        broker.block(true);
        send("a");
        assertEquals(AttemptOutcome.REJECTED, result("a"));
        assertEquals(0, broker.postings().size());
    }

    @Test
    void flowThatIsStoppedIsAWaitToo() {
        send("a");
        assertEquals(AttemptOutcome.OK, result("a"));
        broker.say(1, Method.of(MethodType.CHANNEL_FLOW, false));
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probed.stream().anyMatch(p -> p.result() == AttemptOutcome.REJECTED);
        });
        send("b");
        assertEquals(AttemptOutcome.REJECTED, result("b"));
        broker.say(1, Method.of(MethodType.CHANNEL_FLOW, true));
        await(() -> {
            loop.execute(() -> client.probe(ROUTE));
            return probed.get(probed.size() - 1).result() == AttemptOutcome.OK;
        });
        send("c");
        assertEquals(AttemptOutcome.OK, result("c"));
    }

    @Test
    void confirmForAnUnknownTagProvesNothing() {
        broker.be(Fate.SILENT);
        send("a");
        awaitPosted("a");
        broker.say(1, Method.of(MethodType.BASIC_ACK, 99L, false));
        assertEquals(AttemptOutcome.RESET, result("a"));
    }

    @Test
    void confirmOnAnotherChannelProvesNothing() {
        broker.be(Fate.SILENT);
        send("a");
        awaitPosted("a");
        broker.say(2, Method.of(MethodType.BASIC_ACK, 1L, false));
        assertEquals(AttemptOutcome.RESET, result("a"));
    }

    @Test
    void noConfirmInTimeIsTimedOutAndALateOneIsHeard() {
        broker.lateBy(600);
        broker.be(Fate.CONFIRM_LATE);
        send(200_000, 10, "a");
        assertEquals(AttemptOutcome.TIMEOUT, result("a"));
        await(() -> late.contains("a"));
        assertEquals(1, ended.size());
    }

    @Test
    void cancelledPublishMayHaveRun() throws Exception {
        broker.be(Fate.SILENT);
        Message message = new Message(
                1,
                new Message.Content("a", "unsafe", null, null, Clock.system().micros() + 9 * SECOND, 7, new byte[1]));
        Message.Attempt attempt = message.addAttempt(ROUTE, Clock.system().micros());
        loop.submit(() -> client.send(
                        ROUTE, List.of(new UpstreamClient.OutboundAttempt(attempt, 9 * SECOND, Long.MAX_VALUE))))
                .sync();
        awaitPosted("a");
        loop.submit(() -> client.cancel(attempt)).sync();
        assertEquals(AttemptOutcome.CANCELLED, result("a"));
    }

    @Test
    void brokerThatIsNotThereOrLetsNobodyInOrNeverGreetsWasNotReached() throws Exception {
        broker.shut();
        send("a");
        assertEquals(AttemptOutcome.CONNECT_FAILED, result("a"));
        broker.open(false);
        client(login("wrong"), null, broker.address());
        send("b");
        assertEquals(AttemptOutcome.CONNECT_FAILED, result("b"));
        try (ServerSocket mute = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            client(login("guest"), null, "127.0.0.1:" + mute.getLocalPort());
            send("c");
            assertEquals(AttemptOutcome.CONNECT_FAILED, result("c"));
        }
    }

    @Test
    void heartbeatThatIsLostWhileAConfirmIsOutLeavesItUnknown() {
        broker.heartbeat(1);
        broker.be(Fate.SILENT);
        send("a");
        awaitPosted("a");
        broker.freeze(4_000);
        assertEquals(AttemptOutcome.RESET, result("a"));
    }

    @Test
    void brokerThatComesBackWithAnEmptyMemory() throws Exception {
        broker.be(Fate.SILENT);
        send("a");
        awaitPosted("a");
        broker.shut();
        assertEquals(AttemptOutcome.RESET, result("a"));
        broker.be(Fate.CONFIRM);
        broker.open(true);
        send("b");
        assertEquals(AttemptOutcome.NOT_SENT, result("b"), "its exchange is gone");
        broker.bind("orders", "direct", "k", "q");
        assertEquals(AttemptOutcome.OK, result(sendUntilPosted("anew")));
    }

    @Test
    void drainingRouteGetsNothing() throws Exception {
        list(Availability.DRAINING, broker.address());
        send("a");
        assertEquals(AttemptOutcome.NOT_SENT, result("a"));
        assertEquals(0, broker.connections());
    }

    @Test
    void publishThatIsOutWhenItsRouteDrainsIsStillConfirmed() throws Exception {
        broker.lateBy(300);
        broker.be(Fate.CONFIRM_LATE);
        send("a");
        awaitPosted("a");
        list(Availability.DRAINING, broker.address());
        assertEquals(AttemptOutcome.OK, result("a"));
        await(() -> broker.connected() == 0);
    }

    @Test
    void tlsWithACertificateThatIsTrustedAndOneThatIsNot() throws Exception {
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
            assertEquals(AttemptOutcome.OK, result("a"));
            client(login("guest"), SslContextBuilder.forClient().build(), secure.address());
            send("b");
            assertEquals(AttemptOutcome.CONNECT_FAILED, result("b"));
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
