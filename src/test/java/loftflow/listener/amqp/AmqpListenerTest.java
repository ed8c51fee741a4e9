package loftflow.listener.amqp;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.AMQP;
import com.rabbitmq.client.Channel;
import com.rabbitmq.client.DefaultConsumer;
import com.rabbitmq.client.Envelope;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loftflow.engine.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Publishes, confirms and completions, with RabbitMQ's own client. */
@Timeout(60)
class AmqpListenerTest extends PublishingTestBase {
    @Test
    void confirmReflectsTheResponseOfTheEngine() throws Exception {
        messageAcceptor.acceptsAll = false;
        publish("a", 1);
        publish("b", 1);
        publish("c", 1);
        await(() -> messageAcceptor.submissions.size() == 3);
        assertTrue(listener.hasRequestInProgress());
        onLoop(() -> messageAcceptor.submissions.get(1).client().rejected(SECOND_MICROS));
        onLoop(() -> messageAcceptor.submissions.get(0).client().accepted());
        onLoop(() -> messageAcceptor.submissions.get(2).client().failed());
        awaitAnswers("1 nack 2", "1 ack 1", "1 nack 3");
        assertTrue(deduplicator.contains("a") && !deduplicator.contains("b") && !deduplicator.contains("c"));
        assertTrue(listener.isIdle());
    }

    @Test
    void bodiesUpToTheLimitAreAcceptedAndLargerOnesRefused() throws Exception {
        publish("empty", 0);
        publish("frames", 20_000);
        publish("most", 64 << 10);
        publish("more", (64 << 10) + 1);
        publish("after", 1);
        awaitAnswers("1 ack 1", "1 ack 2", "1 ack 3", "1 nack 4", "1 ack 5");
        assertEquals(
                List.of(0, 20_000, 64 << 10, 1),
                messageAcceptor.submissions.stream()
                        .map(h -> h.message().content().body().length)
                        .toList());
    }

    @Test
    void unacceptablePublishIsReturnedWithItsReason() throws Exception {
        channel.basicPublish("loftflow", "99", true, properties("a"), new byte[1]);
        channel.basicPublish(
                "", "7", true, properties("b").builder().type("unknown").build(), new byte[1]);
        channel.basicPublish("", "7", true, properties(null), new byte[1]);
        channel.basicPublish(
                "",
                "7",
                true,
                properties("d").builder().headers(Map.of("tenant", "x")).build(),
                new byte[1]);
        channel.basicPublish("", "99", false, properties("e"), new byte[1]);
        awaitAnswers(
                "1 return 312",
                "1 nack 1",
                "1 return 406",
                "1 nack 2",
                "1 return 406",
                "1 nack 3",
                "1 return 406",
                "1 nack 4",
                "1 nack 5");
        assertEquals(List.of(), messageAcceptor.messageIds());
    }

    @Test
    void repeatAfterALostConfirmIsNoSecondMessage() throws Exception {
        publish("a", 1);
        awaitAnswers("1 ack 1");
        publish("a", 1);
        awaitAnswers("1 ack 1", "1 ack 2");
        assertEquals(List.of("a"), messageAcceptor.messageIds());
        hasDeduplicationRoom = false;
        publish("b", 1);
        awaitAnswers("1 ack 1", "1 ack 2", "1 nack 3");
        assertEquals(List.of("a"), messageAcceptor.messageIds());
    }

    @Test
    void tagsOfTwoChannelsAreIndependent() throws Exception {
        messageAcceptor.acceptsAll = false;
        Channel second = createConfirmChannel();
        publish("a", 1);
        second.basicPublish("loftflow", "7", properties("b"), new byte[1]);
        await(() -> messageAcceptor.submissions.size() == 2);
        Message.ClientReply ofB = messageAcceptor.submissions.stream()
                .filter(h -> h.message().content().messageId().equals("b"))
                .findFirst()
                .orElseThrow()
                .client();
        onLoop(() -> ofB.rejected(0));
        awaitAnswers("2 nack 1");
        onLoop(() -> messageAcceptor.submissions.stream()
                .filter(h -> h.message().content().messageId().equals("a"))
                .forEach(h -> h.client().accepted()));
        awaitAnswers("2 nack 1", "1 ack 1");
    }

    @Test
    void answerForAClosedChannelIsNotSentOnALaterOneWithItsNumber() throws Exception {
        messageAcceptor.acceptsAll = false;
        publish("a", 1);
        await(() -> messageAcceptor.submissions.size() == 1);
        channel.close();
        await(() -> messageAcceptor.withdrawn.contains("a"));
        channel = createConfirmChannel();
        assertEquals(1, channel.getChannelNumber());
        publish("b", 1);
        await(() -> messageAcceptor.submissions.size() == 2);
        onLoop(() -> messageAcceptor.submissions.get(0).client().accepted());
        onLoop(() -> messageAcceptor.submissions.get(1).client().rejected(0));
        awaitAnswers("1 nack 1");
    }

    @Test
    void unansweredMessageOfAClosedConnectionIsWithdrawn() throws Exception {
        messageAcceptor.acceptsAll = false;
        publish("a", 1);
        await(() -> messageAcceptor.submissions.size() == 1);
        connection.abort();
        await(() -> messageAcceptor.withdrawn.contains("a"));
    }

    @Test
    void publishWithoutConfirmsOrToAnUnknownExchangeIsAnError() throws Exception {
        Channel plain = connection.createChannel();
        plain.basicPublish("loftflow", "7", properties("a"), new byte[1]);
        await(() -> !plain.isOpen());
        assertTrue(plain.getCloseReason().getMessage().contains("confirm mode"));
        channel.basicPublish("other", "7", properties("a"), new byte[1]);
        await(() -> !channel.isOpen());
        assertTrue(channel.getCloseReason().getMessage().contains("404")
                || channel.getCloseReason().getMessage().contains("no exchange"));
        assertEquals(List.of(), messageAcceptor.messageIds());
    }

    @Test
    void readingPausesAtTheLimitOfUnansweredPublishes() throws Exception {
        messageAcceptor.acceptsAll = false;
        for (int i = 0; i < 400; i++) {
            publish("m" + i, 4_000);
        }
        await(() -> messageAcceptor.submissions.size() >= 256);
        // Longer than two heartbeats, of which the client's lie unread.
        Thread.sleep(5_000);
        assertTrue(
                messageAcceptor.submissions.size() < 400,
                "not all of it is read: " + messageAcceptor.submissions.size());
        assertTrue(connection.isOpen());
        onLoop(() -> {
            messageAcceptor.acceptsAll = true;
            List.copyOf(messageAcceptor.submissions).forEach(h -> h.client().accepted());
        });
        await(() -> receivedAnswers.size() == 400);
    }

    @Test
    void onlyTheConfiguredUserIsAdmitted() throws Exception {
        AmqpListener guarded = listener("operator", SECOND_MICROS);
        port = ((InetSocketAddress) guarded.listen(loop, new InetSocketAddress("127.0.0.1", 0))
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
        assertThrows(IOException.class, () -> factory("operator", "guess").newConnection());
        assertThrows(IOException.class, () -> factory("other", "secret").newConnection());
        factory("operator", "secret").newConnection().close();
        onLoop(guarded::stopListening);
    }

    // ---- ends

    private LinkedBlockingQueue<String> consume(Channel on, boolean acks, int prefetch) throws IOException {
        LinkedBlockingQueue<String> come = new LinkedBlockingQueue<>();
        on.queueDeclare("ends", true, false, false, null);
        on.basicQos(prefetch);
        on.basicConsume("ends", false, new DefaultConsumer(on) {
            @Override
            public void handleDelivery(String tag, Envelope envelope, AMQP.BasicProperties properties, byte[] body)
                    throws IOException {
                come.add(properties.getMessageId() + " " + properties.getType() + " " + envelope.isRedeliver());
                if (acks) {
                    on.basicAck(envelope.getDeliveryTag(), false);
                }
            }
        });
        return come;
    }

    @Test
    void completionWaitsForItsConsumerAndForTheAcknowledgement() throws Exception {
        onLoop(() -> listener.reply(completedMessage("a", "ends", Message.Completion.Kind.DELIVERED)));
        LinkedBlockingQueue<String> come = consume(connection.createChannel(), true, 5);
        assertEquals("a.end done false", come.poll(5, TimeUnit.SECONDS));
        await(() -> acknowledgedIds.equals(List.of("a")));
        onLoop(() -> listener.reply(completedMessage("b", "ends", Message.Completion.Kind.REJECTED)));
        assertEquals("b.end bounced false", come.poll(5, TimeUnit.SECONDS));
    }

    @Test
    void unacknowledgedCompletionIsRedeliveredWithinThePrefetch() throws Exception {
        for (String id : List.of("a", "b", "c")) {
            onLoop(() -> listener.reply(completedMessage(id, "ends", Message.Completion.Kind.FAILED)));
        }
        Channel first = connection.createChannel();
        LinkedBlockingQueue<String> come = consume(first, false, 2);
        assertEquals("a.end dead false", come.poll(5, TimeUnit.SECONDS));
        assertEquals("b.end dead false", come.poll(5, TimeUnit.SECONDS));
        assertEquals(null, come.poll(200, TimeUnit.MILLISECONDS));
        first.close();
        come = consume(connection.createChannel(), true, 5);
        assertEquals("a.end dead true", come.poll(5, TimeUnit.SECONDS));
        assertEquals("b.end dead true", come.poll(5, TimeUnit.SECONDS));
        assertEquals("c.end dead false", come.poll(5, TimeUnit.SECONDS));
        await(() -> acknowledgedIds.size() == 3);
    }

    @Test
    void tagOfAnotherChannelAcknowledgesNothing() throws Exception {
        onLoop(() -> listener.reply(completedMessage("a", "ends", Message.Completion.Kind.FAILED)));
        LinkedBlockingQueue<String> come = consume(connection.createChannel(), false, 2);
        assertNotNull(come.poll(5, TimeUnit.SECONDS));
        Channel other = connection.createChannel();
        other.basicAck(1, false);
        await(() -> !other.isOpen());
        assertTrue(other.getCloseReason().getMessage().contains("unknown delivery tag"));
        assertEquals(List.of(), acknowledgedIds);
    }

    @Test
    void completionWithoutAConsumerGoesToTheFallback() throws Exception {
        AmqpListener hasty = listener(null, SECOND_MICROS / 10);
        hasty.listen(loop, new InetSocketAddress("127.0.0.1", 0)).sync();
        onLoop(() -> hasty.reply(completedMessage("a", "ends", Message.Completion.Kind.FAILED)));
        await(() -> fallbackIds.equals(List.of("a")));
        onLoop(hasty::stopListening);
    }
}
