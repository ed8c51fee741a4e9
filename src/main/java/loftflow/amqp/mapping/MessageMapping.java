package loftflow.amqp.mapping;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import loftflow.amqp.codec.Properties;
import loftflow.amqp.codec.Property;
import loftflow.engine.Message;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.RequestClass;

/**
 * Maps published AMQP messages to messages of the relay by the first rule that matches. A message that can't be mapped
 * is rejected with a reason. So is a non-idempotent message without an id, as a duplicate of it could not be detected.
 */
public final class MessageMapping {
    /**
     * Says where each value of a message is read from.
     *
     * @param contentType the content type that the rule matches; null matches every one
     * @param tenant null if messages have no tenant
     * @param key null if messages have no key
     * @param budget source of the time to live in milliseconds, from when a message was sent; null for the deadline of
     *     its class
     */
    public record Rule(
            String contentType,
            ValueSource id,
            ValueSource requestClass,
            ValueSource tenant,
            ValueSource key,
            ValueSource destination,
            ValueSource budget) {}

    /** The result of a mapping. */
    public sealed interface Result {}

    /** A mapped message; {@code anonymous} if its id was generated. */
    public record Accepted(Message.Content content, boolean anonymous) implements Result {}

    /** A message that can't be mapped, with the reason. */
    public record Rejected(String reason) implements Result {}

    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final Pattern BUDGET_MILLIS = Pattern.compile("\\d{1,9}");
    private static final Pattern DESTINATION = Pattern.compile("\\d{1,9}");
    /** Header of the RabbitMQ timestamp plug-in: when the broker received the message, in milliseconds. */
    private static final String TIMESTAMP_MILLIS_HEADER = "timestamp_in_ms";

    /** Characters of a value that are quoted in a reason. */
    private static final int MAX_QUOTED_LENGTH = 60;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final List<Rule> rules;
    private final Map<String, RequestClass> classes = new HashMap<>();

    /** Creates a mapping; the rules are tried in order. */
    public MessageMapping(List<Rule> rules, List<RequestClass> classes) {
        this.rules = rules;
        classes.forEach(type -> this.classes.put(type.name(), type));
    }

    /**
     * Maps a message.
     *
     * @param receivedAtMicros microseconds since the Unix epoch; the send time of a message without a timestamp
     * @param idGenerator called only for an idempotent message without an id
     * @param reply where the completion is reported; null for nowhere
     */
    public Result map(
            Properties properties,
            String exchange,
            String routingKey,
            byte[] body,
            long receivedAtMicros,
            Supplier<String> idGenerator,
            Message.Reply reply) {
        Rule rule = matchingRule(properties.text(Property.CONTENT_TYPE));
        if (rule == null) {
            return new Rejected("no mapping is for content type " + properties.text(Property.CONTENT_TYPE));
        }
        String className = rule.requestClass().value(properties, exchange, routingKey);
        RequestClass type = classes.get(className);
        if (type == null) {
            return new Rejected("no class is named " + quoted(className));
        }
        String id = rule.id().value(properties, exchange, routingKey);
        if (id == null && type.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return new Rejected("a message of class " + className
                    + " needs an id: a second copy of it could not be told" + " from the first");
        }
        String key = optional(rule.key(), properties, exchange, routingKey);
        if (id != null && !isToken(id) || key != null && !isToken(key)) {
            return new Rejected("an id or key is no token of 200 characters at the most");
        }
        String destination = rule.destination().value(properties, exchange, routingKey);
        if (destination == null || !DESTINATION.matcher(destination).matches()) {
            return new Rejected(quoted(destination) + " is no number of a destination");
        }
        String budget = optional(rule.budget(), properties, exchange, routingKey);
        if (budget != null && !BUDGET_MILLIS.matcher(budget).matches()) {
            return new Rejected(quoted(budget) + " is no number of milliseconds");
        }
        long deadlineMicros = sentAt(properties, receivedAtMicros)
                + (budget == null ? type.deadlineMicros() : Long.parseLong(budget) * MICROS_PER_MILLI);
        return new Accepted(
                new Message.Content(
                        id == null ? idGenerator.get() : id,
                        className,
                        optional(rule.tenant(), properties, exchange, routingKey),
                        key,
                        deadlineMicros,
                        Integer.parseInt(destination),
                        body,
                        reply),
                id == null);
    }

    /** Returns the first rule for a content type; null if there is none. */
    private Rule matchingRule(String contentType) {
        return rules.stream()
                .filter(rule -> rule.contentType() == null || rule.contentType().equals(contentType))
                .findFirst()
                .orElse(null);
    }

    private static boolean isToken(String text) {
        return TOKEN.matcher(text).matches();
    }

    private static String optional(ValueSource source, Properties properties, String exchange, String routingKey) {
        return source == null ? null : source.value(properties, exchange, routingKey);
    }

    /**
     * Returns the send time, at most the receive time, so that a client clock that is ahead does not extend the
     * deadline.
     */
    private static long sentAt(Properties properties, long receivedAtMicros) {
        Long seconds = properties.number(Property.TIMESTAMP);
        long sentAtMicros = properties.headers().get(TIMESTAMP_MILLIS_HEADER) instanceof Long millis
                ? millis * MICROS_PER_MILLI
                : seconds == null ? receivedAtMicros : seconds * MICROS_PER_SECOND;
        return Math.min(receivedAtMicros, sentAtMicros);
    }

    private static String quoted(String text) {
        return text == null
                ? "nothing"
                : '"' + (text.length() > MAX_QUOTED_LENGTH ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text) + '"';
    }
}
