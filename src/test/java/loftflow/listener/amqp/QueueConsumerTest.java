package loftflow.listener.amqp;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.amqp.link.AmqpClientConnection;
import loftflow.engine.Message;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.Fate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Messages out of a broker's queue, with the stand-in broker failing as the tests want it. */
@Timeout(60)
class QueueConsumerTest extends AmqpListenerTestBase {
    private FakeBroker broker;
    private QueueConsumer consumer;

    @BeforeEach
    void prepare() throws IOException {
        broker = new FakeBroker();
        broker.declare("in");
        broker.declare("ends");
        consumer = consumer(5, false, QueueConsumer.Tells.ASKED, null);
    }

    private QueueConsumer consumer(int prefetch, boolean auto, QueueConsumer.Tells tells, String replyQueue) {
        return new QueueConsumer(
                loop,
                intake,
                clock,
                pulse,
                mapping(),
                seen,
                new QueueConsumer.Options(
                        "front",
                        new AmqpClientConnection.Broker(
                                new InetSocketAddress("127.0.0.1", broker.port()),
                                new AmqpClientConnection.Login("guest", "guest", "/", 2),
                                null,
                                null),
                        "in",
                        prefetch,
                        auto,
                        tells,
                        replyQueue,
                        SECOND),
                m -> heard.add(m.content().messageId()),
                m -> otherwise.add(m.content().messageId()));
    }

    private void start() {
        on(() -> {
            pulse.start();
            consumer.start();
        });
    }

    @AfterEach
    void end() {
        on(consumer::stopListening);
        broker.close();
    }

    private static Properties properties(String id) {
        return Properties.NONE.with(Property.MESSAGE_ID, id).with(Property.TYPE, "unsafe");
    }

    private void put(String... ids) {
        for (String id : ids) {
            put(properties(id));
        }
    }

    private void put(Properties properties) {
        broker.put("in", "7", properties, new byte[] {1});
    }

    @Test
    void acknowledgedOnceItIsTakenOnAndNotBefore() {
        intake.acceptsAll = false;
        put("a");
        start();
        await(() -> intake.messageIds().equals(List.of("a")));
        assertEquals(0, broker.acked("in"));
        on(() -> intake.submissions.get(0).client().accepted());
        await(() -> broker.acked("in") == 1);
        assertTrue(seen.contains("a"));
    }

    @Test
    void refusedGoesBackAndFailedIsRejectedForGood() {
        intake.acceptsAll = false;
        put("a");
        start();
        await(() -> intake.submissions.size() == 1);
        on(() -> intake.submissions.get(0).client().rejected(SECOND));
        await(() -> intake.submissions.size() == 2);
        assertEquals(List.of("a", "a"), intake.messageIds());
        on(() -> intake.submissions.get(1).client().failed());
        await(() -> broker.deadLetters().equals(List.of("a")));
    }

    @Test
    void whatCanNeverBeTakenIsRejectedForGood() {
        put(properties("a").with(Property.TYPE, "unknown"));
        put(properties(null));
        put(properties("b").with(Property.HEADERS, Map.of("tenant", "stranger")));
        put(properties("c").with(Property.TIMESTAMP, 1_000L));
        broker.put("in", "7", properties("d"), new byte[(64 << 10) + 1]);
        start();
        await(() -> broker.deadLetters().size() == 5);
        assertEquals(0, intake.submissions.size());
    }

    @Test
    void brokerHandsOutNoMoreThanThePrefetch() {
        intake.acceptsAll = false;
        for (int i = 0; i < 20; i++) {
            put("m" + i);
        }
        start();
        await(() -> intake.submissions.size() == 5);
        on(() -> intake.submissions.get(0).client().accepted());
        await(() -> intake.submissions.size() == 6);
        assertEquals(19, broker.size("in"));
    }

    /** The tag of a delivery on a connection that is gone would acknowledge another message on the next one. */
    @Test
    void lateAnswerAfterItsConnectionIsGoneAcknowledgesNothing() {
        intake.acceptsAll = false;
        put("a", "b");
        start();
        await(() -> intake.submissions.size() == 2);
        broker.drop();
        await(() -> intake.submissions.size() == 4);
        assertEquals(java.util.Set.of("a", "b"), intake.withdrawn, "the broker hands them out again");
        on(() -> {
            intake.submissions.get(0).client().accepted();
            intake.submissions.get(1).client().failed();
        });
        on(() -> {});
        assertEquals(0, broker.acked("in"));
        assertEquals(2, broker.size("in"));
        assertEquals(List.of(), broker.deadLetters());
    }

    @Test
    void redeliveryAfterALostAcknowledgementIsNoSecondMessage() {
        AtomicInteger lost = new AtomicInteger();
        broker.loseAcks(() -> lost.getAndIncrement() == 0);
        put("a");
        start();
        // Taken on, and the first acknowledgement dies with the connection.
        await(() -> broker.acked("in") == 1);
        assertEquals(2, lost.get());
        assertTrue(broker.connections() >= 2);
        put("b");
        await(() -> intake.messageIds().contains("b"));
        assertEquals(List.of("a", "b"), intake.messageIds());
    }

    @Test
    void fullMemoryTakesNothingOnUntilThereIsRoom() {
        room = false;
        put("a");
        start();
        await(() -> broker.connections() > 0 && broker.size("in") == 1);
        assertEquals(0, intake.submissions.size());
        room = true;
        await(() -> broker.acked("in") == 1);
        assertEquals(List.of("a"), intake.messageIds());
    }

    @Test
    void drainedConsumerTakesNothingNew() {
        start();
        put("a");
        await(() -> broker.acked("in") == 1);
        on(consumer::drain);
        on(() -> {});
        put("b");
        assertTrue(consumer.isIdle());
        on(consumer::stopListening);
        await(() -> broker.connected() == 0);
        assertEquals(List.of("a"), intake.messageIds());
        assertEquals(1, broker.size("in"));
    }

    @Test
    void endIsToldToItsQueueAndHeardOnceTheBrokerHasIt() {
        start();
        on(() -> consumer.tell(ended("a", "ends", Message.Completion.Kind.DELIVERED)));
        await(() -> heard.equals(List.of("a")));
        var end = broker.ready("ends").get(0);
        assertEquals(
                "a done a.end",
                end.getKey().text(Property.CORRELATION_ID) + " " + end.getKey().text(Property.TYPE) + " "
                        + end.getKey().text(Property.MESSAGE_ID));
        assertEquals(
                "{\"ref\":\"a\",\"result\":\"done\"}",
                new String(end.getValue(), java.nio.charset.StandardCharsets.UTF_8));
    }

    @Test
    void endWhoseConfirmIsLostIsToldAgainUnderTheSameId() {
        broker.be(Fate.DROP_AFTER);
        start();
        on(() -> consumer.tell(ended("a", "ends", Message.Completion.Kind.FAILED)));
        await(() -> broker.size("ends") == 1);
        assertEquals(List.of(), heard);
        broker.be(Fate.CONFIRM);
        await(() -> heard.equals(List.of("a")));
        assertTrue(broker.ready("ends").stream()
                .allMatch(e -> e.getKey().text(Property.MESSAGE_ID).equals("a.end")));
    }

    @Test
    void endsWaitWhileTheBrokerBlocksPublishers() {
        start();
        on(() -> consumer.tell(ended("a", "ends", Message.Completion.Kind.DELIVERED)));
        await(() -> heard.equals(List.of("a")));
        broker.block(true);
        // What the broker hands out behind its block is handled when that is known.
        put("m");
        await(() -> broker.acked("in") == 1);
        on(() -> consumer.tell(ended("b", "ends", Message.Completion.Kind.DELIVERED)));
        on(() -> {});
        assertEquals(1, broker.size("ends"));
        broker.block(false);
        await(() -> heard.equals(List.of("a", "b")));
        assertEquals(0, broker.waitsBroken());
    }

    @Test
    void endThatTheBrokerRefusesIsToldAgain() {
        broker.be(Fate.NACK);
        start();
        on(() -> consumer.tell(ended("a", "ends", Message.Completion.Kind.FAILED)));
        await(() -> broker.postings().size() >= 2);
        assertEquals(List.of(), heard);
        broker.be(Fate.CONFIRM);
        await(() -> heard.equals(List.of("a")));
        assertEquals(1, broker.size("ends"));
    }

    @Test
    void endWhoseQueueIsGoneGoesWhereOthersGo() {
        start();
        on(() -> consumer.tell(ended("a", "nowhere", Message.Completion.Kind.REJECTED)));
        await(() -> otherwise.equals(List.of("a")));
        assertEquals(List.of(), heard);
    }

    @Test
    void repliesAreAskedForByTheMessageOrAlwaysOrNever() {
        start();
        put(properties("a").with(Property.REPLY_TO, "ends").with(Property.CORRELATION_ID, "c"));
        put("b");
        await(() -> intake.submissions.size() == 2);
        assertEquals(
                new Message.Reply("front", "ends", "c"),
                intake.submissions.get(0).message().content().reply());
        assertEquals(null, intake.submissions.get(1).message().content().reply());
        on(consumer::stopListening);
        consumer = consumer(5, false, QueueConsumer.Tells.ALWAYS, "all-ends");
        start();
        put("c");
        await(() -> intake.submissions.size() == 3);
        assertEquals(
                "all-ends",
                intake.submissions.get(2).message().content().reply().queue());
        on(consumer::stopListening);
        consumer = consumer(5, false, QueueConsumer.Tells.NEVER, null);
        start();
        put(properties("d").with(Property.REPLY_TO, "ends"));
        await(() -> intake.submissions.size() == 4);
        assertEquals(null, intake.submissions.get(3).message().content().reply());
    }

    @Test
    void automaticAcknowledgementLosesWhatIsRefusedAndSaysSo() {
        on(consumer::stopListening);
        consumer = consumer(5, true, QueueConsumer.Tells.NEVER, null);
        intake.acceptsAll = false;
        put(properties("a").with(Property.TYPE, "any"));
        start();
        await(() -> intake.submissions.size() == 1);
        assertEquals(0, broker.size("in"), "the broker has forgotten it");
        on(() -> intake.submissions.get(0).client().failed());
        on(() -> {});
        assertEquals(List.of(), broker.deadLetters());
        assertEquals(1, broker.connected(), "nothing was said that the broker would mind");
    }

    @Test
    void queueThatIsMissingOrDeletedIsConsumedOnceItIsThere() throws IOException {
        broker.remove("in");
        start();
        await(() -> broker.connections() >= 2);
        assertFalse(consumer.isAnswering());
        put("a");
        await(() -> intake.messageIds().equals(List.of("a")));
        broker.shut();
        broker.open(false);
        put("b");
        await(() -> intake.messageIds().equals(List.of("a", "b")));
    }
}
