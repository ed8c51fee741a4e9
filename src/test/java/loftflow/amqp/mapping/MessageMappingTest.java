package loftflow.amqp.mapping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.engine.Message;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.RequestClass;
import org.junit.jupiter.api.Test;

class MessageMappingTest {
    private static final long NOW = 1_800_000_000_500_000L;
    private static final long SECOND = 1_000_000;

    private static RequestClass type(String name, Idempotency repeat) {
        return new RequestClass(name, repeat, KeyScope.ALL, SECOND, SECOND, 8 * SECOND, 1, 0, false);
    }

    private static final MessageMapping.Rule DEFAULT_RULE =
            rule(null, "property:message-id", "property:type", "routing-key");

    private static MessageMapping.Rule rule(String contentType, String id, String requestClass, String destination) {
        return new MessageMapping.Rule(
                contentType,
                ValueSource.of(id),
                ValueSource.of(requestClass),
                ValueSource.of("header:tenant"),
                ValueSource.of("header:key"),
                ValueSource.of(destination),
                ValueSource.of("property:expiration"));
    }

    private static MessageMapping mapping(MessageMapping.Rule... rules) {
        return new MessageMapping(
                List.of(rules), List.of(type("once", Idempotency.NON_IDEMPOTENT), type("any", Idempotency.IDEMPOTENT)));
    }

    private static Properties properties(String type) {
        return Properties.NONE.with(Property.TYPE, type).with(Property.MESSAGE_ID, "m1");
    }

    private static MessageMapping.Result map(Properties properties, String routingKey) {
        return mapping(DEFAULT_RULE).map(properties, "e", routingKey, new byte[1], NOW, () -> "none-1", null);
    }

    private static Message.Content fits(Properties properties) {
        return ((MessageMapping.Accepted) map(properties, "7")).content();
    }

    private static void misfits(Properties properties, String routingKey, String reason) {
        String said = ((MessageMapping.Rejected) map(properties, routingKey)).reason();
        assertTrue(said.contains(reason), said);
    }

    @Test
    void everyValueIsReadFromItsSource() {
        Message.Content c = fits(properties("once")
                .with(Property.EXPIRATION, "1500")
                .with(Property.HEADERS, Map.of("tenant", "acme", "key", 42)));
        assertEquals(
                "m1 once acme 42 7",
                c.messageId() + " " + c.requestClass() + " " + c.tenant() + " " + c.key() + " " + c.destination());
        assertEquals(NOW + 1_500_000, c.deadlineMicros());
        Message.Reply reply = new Message.Reply("front", "q", "c");
        MessageMapping fixed = mapping(rule("text/plain", "header:id", "fixed:any", "header:dest"), DEFAULT_RULE);
        MessageMapping.Accepted other = (MessageMapping.Accepted) fixed.map(
                properties("once")
                        .with(Property.CONTENT_TYPE, "text/plain")
                        .with(Property.HEADERS, Map.of("id", "h1", "dest", 12)),
                "e",
                "rk",
                new byte[0],
                NOW,
                () -> "none-1",
                reply);
        assertEquals(
                "h1 any 12",
                other.content().messageId() + " " + other.content().requestClass() + " "
                        + other.content().destination());
        assertEquals(reply, other.content().reply());
    }

    @Test
    void deadlineCountsFromTheSendTime() {
        assertEquals(
                NOW + 8 * SECOND,
                fits(properties("once")).deadlineMicros(),
                "its class's deadline where it names none");
        Properties sent = properties("once").with(Property.EXPIRATION, "2000");
        assertEquals(
                NOW - 2_500_000 + 2 * SECOND,
                fits(sent.with(Property.TIMESTAMP, NOW / SECOND - 2)).deadlineMicros());
        assertEquals(
                NOW + 2 * SECOND,
                fits(sent.with(Property.TIMESTAMP, NOW / SECOND + 60)).deadlineMicros(),
                "a client's clock that is ahead gives no more time");
        assertEquals(
                NOW - 100_000 + 2 * SECOND,
                fits(sent.with(Property.HEADERS, Map.of("timestamp_in_ms", NOW / 1_000 - 100)))
                        .deadlineMicros());
    }

    @Test
    void nonIdempotentMessageWithoutAnIdIsRejectedAndOthersGetAGeneratedOne() {
        misfits(properties("once").with(Property.MESSAGE_ID, null), "7", "needs an id");
        MessageMapping.Accepted any =
                (MessageMapping.Accepted) map(properties("any").with(Property.MESSAGE_ID, null), "7");
        assertTrue(any.anonymous());
        assertEquals("none-1", any.content().messageId());
        assertFalse(((MessageMapping.Accepted) map(properties("any"), "7")).anonymous());
    }

    @Test
    void rejectionStatesTheReason() {
        misfits(properties("other"), "7", "no class is named \"other\"");
        misfits(properties("once").with(Property.TYPE, null), "7", "no class is named nothing");
        misfits(properties("once"), "elevator", "\"elevator\" is no number of a destination");
        misfits(properties("once"), "1234567890", "is no number of a destination");
        misfits(properties("once").with(Property.EXPIRATION, "soon"), "7", "\"soon\" is no number of milliseconds");
        misfits(properties("once").with(Property.MESSAGE_ID, "two words"), "7", "is no token");
        misfits(properties("once").with(Property.HEADERS, Map.of("key", "\n")), "7", "is no token");
        String said = ((MessageMapping.Rejected)
                        mapping(rule("a/b", "property:message-id", "property:type", "routing-key"))
                                .map(properties("once"), "e", "7", new byte[0], NOW, () -> "x", null))
                .reason();
        assertTrue(said.contains("no mapping is for content type null"), said);
    }

    @Test
    void invalidSourcesAreRejected() {
        for (String wrong : List.of("", "nowhere", "property:headers", "property:size", "routing-keys", "header")) {
            if (!wrong.equals("header")) {
                assertThrows(IllegalArgumentException.class, () -> ValueSource.of(wrong), wrong);
            }
        }
    }
}
