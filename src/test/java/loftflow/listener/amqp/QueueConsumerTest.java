package loftflow.listener.amqp;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
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
import loftflow.fake.FakeBroker.PublishOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Messages from the queue of a fake broker, which fails as the tests require. */
@Timeout(60)
class QueueConsumerTest extends AmqpListenerTestBase {
    private FakeBroker broker;
    private QueueConsumer consumer;

    @BeforeEach
    void prepare() throws IOException {
        broker = new FakeBroker();
        broker.declare("in");
        broker.declare("ends");
        consumer = consumer(5, false, QueueConsumer.ReplyMode.ON_REQUEST, null);
    }

    private QueueConsumer consumer(
            int prefetch, boolean isAutoAcknowledge, QueueConsumer.ReplyMode tells, String replyQueue) {
        return new QueueConsumer(
                loop,
                messageAcceptor,
                clock,
                eventLoopLag,
                mapping(),
                deduplicator,
                new QueueConsumer.Options(
                        "front",
                        new AmqpClientConnection.Broker(
                                new InetSocketAddress("127.0.0.1", broker.port()),
                                new AmqpClientConnection.Login("guest", "guest", "/", 2),
                                null,
                                null),
                        "in",
                        prefetch,
                        isAutoAcknowledge,
                        tells,
                        replyQueue,
                        SECOND_MICROS),
                message -> acknowledgedIds.add(message.content().messageId()),
                message -> fallbackIds.add(message.content().messageId()));
    }

    private void start() {
        onLoop(() -> {
            eventLoopLag.start();
            consumer.start();
        });
    }

    @AfterEach
    void end() {
        onLoop(consumer::stopListening);
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
    void deliveryIsAcknowledgedOnceItsMessageIsAccepted() {
        messageAcceptor.acceptsAll = false;
        put("a");
        start();
        await(() -> messageAcceptor.messageIds().equals(List.of("a")));
        assertEquals(0, broker.acked("in"));
        onLoop(() -> messageAcceptor.submissions.get(0).client().accepted());
        await(() -> broker.acked("in") == 1);
        assertTrue(deduplicator.contains("a"));
    }

    @Test
    void rejectedMessageIsRequeuedAndFailedOneIsNot() {
        messageAcceptor.acceptsAll = false;
        put("a");
        start();
        await(() -> messageAcceptor.submissions.size() == 1);
        onLoop(() -> messageAcceptor.submissions.get(0).client().rejected(SECOND_MICROS));
        await(() -> messageAcceptor.submissions.size() == 2);
        assertEquals(List.of("a", "a"), messageAcceptor.messageIds());
        onLoop(() -> messageAcceptor.submissions.get(1).client().failed());
        await(() -> broker.deadLetters().equals(List.of("a")));
    }

    @Test
    void unacceptableMessageIsRejectedForGood() {
        put(properties("a").with(Property.TYPE, "unknown"));
        put(properties(null));
        put(properties("b").with(Property.HEADERS, Map.of("tenant", "stranger")));
        put(properties("c").with(Property.TIMESTAMP, 1_000L));
        broker.put("in", "7", properties("d"), new byte[(64 << 10) + 1]);
        start();
        await(() -> broker.deadLetters().size() == 5);
        assertEquals(0, messageAcceptor.submissions.size());
    }

    @Test
    void prefetchLimitsUnacknowledgedDeliveries() {
        messageAcceptor.acceptsAll = false;
        for (int i = 0; i < 20; i++) {
            put("m" + i);
        }
        start();
        await(() -> messageAcceptor.submissions.size() == 5);
        onLoop(() -> messageAcceptor.submissions.get(0).client().accepted());
        await(() -> messageAcceptor.submissions.size() == 6);
        assertEquals(19, broker.size("in"));
    }

    /** The tag of a delivery on a lost connection would acknowledge another message on the next one. */
    @Test
    void answerAfterTheConnectionIsLostAcknowledgesNothing() {
        messageAcceptor.acceptsAll = false;
        put("a", "b");
        start();
        await(() -> messageAcceptor.submissions.size() == 2);
        broker.drop();
        await(() -> messageAcceptor.submissions.size() == 4);
        assertEquals(java.util.Set.of("a", "b"), messageAcceptor.withdrawn, "the broker redelivers them");
        onLoop(() -> {
            messageAcceptor.submissions.get(0).client().accepted();
            messageAcceptor.submissions.get(1).client().failed();
        });
        onLoop(() -> {});
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
        // The message is accepted, and the first ack is lost with the connection.
        await(() -> broker.acked("in") == 1);
        assertEquals(2, lost.get());
        assertTrue(broker.connections() >= 2);
        put("b");
        await(() -> messageAcceptor.messageIds().contains("b"));
        assertEquals(List.of("a", "b"), messageAcceptor.messageIds());
    }

    @Test
    void fullDeduplicationWindowRequeuesUntilThereIsRoom() {
        hasDeduplicationRoom = false;
        put("a");
        start();
        await(() -> broker.connections() > 0 && broker.size("in") == 1);
        assertEquals(0, messageAcceptor.submissions.size());
        hasDeduplicationRoom = true;
        await(() -> broker.acked("in") == 1);
        assertEquals(List.of("a"), messageAcceptor.messageIds());
    }

    @Test
    void drainedConsumerAcceptsNothingNew() {
        start();
        put("a");
        await(() -> broker.acked("in") == 1);
        onLoop(consumer::drain);
        onLoop(() -> {});
        put("b");
        assertTrue(consumer.isIdle());
        onLoop(consumer::stopListening);
        await(() -> broker.connected() == 0);
        assertEquals(List.of("a"), messageAcceptor.messageIds());
        assertEquals(1, broker.size("in"));
    }

    @Test
    void completionIsPublishedAndAcknowledgedByTheBroker() {
        start();
        onLoop(() -> consumer.reply(completedMessage("a", "ends", Message.Completion.Kind.DELIVERED)));
        await(() -> acknowledgedIds.equals(List.of("a")));
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
    void completionWithALostConfirmIsPublishedAgainUnderItsId() {
        broker.setOutcome(PublishOutcome.DROP_AFTER);
        start();
        onLoop(() -> consumer.reply(completedMessage("a", "ends", Message.Completion.Kind.FAILED)));
        await(() -> broker.size("ends") == 1);
        assertEquals(List.of(), acknowledgedIds);
        broker.setOutcome(PublishOutcome.CONFIRM);
        await(() -> acknowledgedIds.equals(List.of("a")));
        assertTrue(broker.ready("ends").stream()
                .allMatch(e -> e.getKey().text(Property.MESSAGE_ID).equals("a.end")));
    }

    @Test
    void completionsWaitWhileTheBrokerBlocksPublishers() {
        start();
        onLoop(() -> consumer.reply(completedMessage("a", "ends", Message.Completion.Kind.DELIVERED)));
        await(() -> acknowledgedIds.equals(List.of("a")));
        broker.block(true);
        // A delivery that follows the block is handled after the block is known.
        put("m");
        await(() -> broker.acked("in") == 1);
        onLoop(() -> consumer.reply(completedMessage("b", "ends", Message.Completion.Kind.DELIVERED)));
        onLoop(() -> {});
        assertEquals(1, broker.size("ends"));
        broker.block(false);
        await(() -> acknowledgedIds.equals(List.of("a", "b")));
        assertEquals(0, broker.publishesWhileBlocked());
    }

    @Test
    void completionWithANackIsPublishedAgain() {
        broker.setOutcome(PublishOutcome.NACK);
        start();
        onLoop(() -> consumer.reply(completedMessage("a", "ends", Message.Completion.Kind.FAILED)));
        await(() -> broker.postings().size() >= 2);
        assertEquals(List.of(), acknowledgedIds);
        broker.setOutcome(PublishOutcome.CONFIRM);
        await(() -> acknowledgedIds.equals(List.of("a")));
        assertEquals(1, broker.size("ends"));
    }

    @Test
    void completionWithoutAReplyQueueGoesToTheFallback() {
        start();
        onLoop(() -> consumer.reply(completedMessage("a", "nowhere", Message.Completion.Kind.REJECTED)));
        await(() -> fallbackIds.equals(List.of("a")));
        assertEquals(List.of(), acknowledgedIds);
    }

    /** Guards against a completion that counts as acknowledged where its return lost its tag. */
    @Test
    void completionWithoutAReplyQueueGoesToTheFallbackThoughItsReturnLostAllProperties() {
        broker.returnWith(properties -> Properties.NONE);
        completionWithoutAReplyQueueGoesToTheFallback();
    }

    @Test
    void repliesAreSentOnRequestAlwaysOrNever() {
        start();
        put(properties("a").with(Property.REPLY_TO, "ends").with(Property.CORRELATION_ID, "c"));
        put("b");
        await(() -> messageAcceptor.submissions.size() == 2);
        assertEquals(
                new Message.Reply("front", "ends", "c"),
                messageAcceptor.submissions.get(0).message().content().reply());
        assertEquals(
                null, messageAcceptor.submissions.get(1).message().content().reply());
        onLoop(consumer::stopListening);
        consumer = consumer(5, false, QueueConsumer.ReplyMode.ALWAYS, "all-ends");
        start();
        put("c");
        await(() -> messageAcceptor.submissions.size() == 3);
        assertEquals(
                "all-ends",
                messageAcceptor.submissions.get(2).message().content().reply().queue());
        onLoop(consumer::stopListening);
        consumer = consumer(5, false, QueueConsumer.ReplyMode.NEVER, null);
        start();
        put(properties("d").with(Property.REPLY_TO, "ends"));
        await(() -> messageAcceptor.submissions.size() == 4);
        assertEquals(
                null, messageAcceptor.submissions.get(3).message().content().reply());
    }

    @Test
    void automaticAcknowledgementLosesRejectedMessages() {
        onLoop(consumer::stopListening);
        consumer = consumer(5, true, QueueConsumer.ReplyMode.NEVER, null);
        messageAcceptor.acceptsAll = false;
        put(properties("a").with(Property.TYPE, "any"));
        start();
        await(() -> messageAcceptor.submissions.size() == 1);
        assertEquals(0, broker.size("in"), "the broker does not hold it any more");
        onLoop(() -> messageAcceptor.submissions.get(0).client().failed());
        onLoop(() -> {});
        assertEquals(List.of(), broker.deadLetters());
        assertEquals(1, broker.connected(), "the broker has no reason to close the connection");
    }

    @Test
    void missingQueueIsConsumedOnceItExists() throws IOException {
        broker.remove("in");
        start();
        await(() -> broker.connections() >= 2);
        assertFalse(consumer.hasRequestInProgress());
        put("a");
        await(() -> messageAcceptor.messageIds().equals(List.of("a")));
        broker.shut();
        broker.open(false);
        put("b");
        await(() -> messageAcceptor.messageIds().equals(List.of("a", "b")));
    }

    @Test
    void replyModeIsFoundByItsSetting() {
        assertEquals(QueueConsumer.ReplyMode.ON_REQUEST, QueueConsumer.ReplyMode.ofSetting("asked"));
        assertEquals(QueueConsumer.ReplyMode.ALWAYS, QueueConsumer.ReplyMode.ofSetting("always"));
        assertEquals(QueueConsumer.ReplyMode.NEVER, QueueConsumer.ReplyMode.ofSetting("never"));
        assertThrows(IllegalArgumentException.class, () -> QueueConsumer.ReplyMode.ofSetting("ASKED"));
    }
}
