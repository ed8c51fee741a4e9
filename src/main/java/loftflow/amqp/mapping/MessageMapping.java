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
 * Makes messages of what AMQP's clients publish, by the first rule that fits. It takes nothing for granted: what does
 * not
 * fit is refused with a reason, and a message that may take effect once and has no id is refused too, since a second
 * copy
 * of it could not be told from the first.
 */
public final class MessageMapping {
    /**
     * A rule.
     *
     * @param contentType the content type that it is for; null for every one
     * @param tenant null where messages name none
     * @param key null where messages have none
     * @param budget milliseconds from when a message was sent; null for its class's deadline
     */
    public record Rule(
            String contentType,
            ValueSource id,
            ValueSource requestClass,
            ValueSource tenant,
            ValueSource key,
            ValueSource destination,
            ValueSource budget) {}

    /** What a message is to the relay. */
    public sealed interface Mapped {}

    /** A message that can be handed in; {@code anonymous} where its client gave it no id. */
    public record Fits(Message.Content content, boolean anonymous) implements Mapped {}

    /** One that can't, and why. */
    public record Misfits(String reason) implements Mapped {}

    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final Pattern MILLIS = Pattern.compile("\\d{1,9}");
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");
    /** The header by which brokers with that plug-in tell when a message came, in milliseconds. */
    private static final String SENT_MS = "timestamp_in_ms";

    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    private final List<Rule> rules;
    private final Map<String, RequestClass> classes = new HashMap<>();

    /** A mapping by rules, the first one first. */
    public MessageMapping(List<Rule> rules, List<RequestClass> classes) {
        this.rules = rules;
        classes.forEach(type -> this.classes.put(type.name(), type));
    }

    /**
     * Maps a message.
     *
     * @param cameAt microseconds since 1970; a message that does not tell when it was sent was sent then
     * @param namelessIds asked for the id of a message that has none and needs none
     * @param reply where its end is to be told; null for nowhere
     */
    public Mapped map(
            Properties properties,
            String exchange,
            String routingKey,
            byte[] body,
            long cameAt,
            Supplier<String> namelessIds,
            Message.Reply reply) {
        Rule rule = rules.stream()
                .filter(r -> r.contentType() == null || r.contentType().equals(properties.text(Property.CONTENT_TYPE)))
                .findFirst()
                .orElse(null);
        if (rule == null) {
            return new Misfits("no mapping is for content type " + properties.text(Property.CONTENT_TYPE));
        }
        String className = rule.requestClass().value(properties, exchange, routingKey);
        RequestClass type = classes.get(className);
        if (type == null) {
            return new Misfits("no class is named " + shown(className));
        }
        String id = rule.id().value(properties, exchange, routingKey);
        if (id == null && type.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return new Misfits("a message of class " + className + " needs an id: a second copy of it could not be told"
                    + " from the first");
        }
        String key = optional(rule.key(), properties, exchange, routingKey);
        if (id != null && !TOKEN.matcher(id).matches()
                || key != null && !TOKEN.matcher(key).matches()) {
            return new Misfits("an id or key is no token of 200 characters at the most");
        }
        String destination = rule.destination().value(properties, exchange, routingKey);
        if (destination == null || !NUMBER.matcher(destination).matches()) {
            return new Misfits(shown(destination) + " is no number of a destination");
        }
        String budget = optional(rule.budget(), properties, exchange, routingKey);
        if (budget != null && !MILLIS.matcher(budget).matches()) {
            return new Misfits(shown(budget) + " is no number of milliseconds");
        }
        long deadline =
                sentAt(properties, cameAt) + (budget == null ? type.deadlineMicros() : Long.parseLong(budget) * MS);
        return new Fits(
                new Message.Content(
                        id == null ? namelessIds.get() : id,
                        className,
                        optional(rule.tenant(), properties, exchange, routingKey),
                        key,
                        deadline,
                        Integer.parseInt(destination),
                        body,
                        reply),
                id == null);
    }

    private static String optional(ValueSource source, Properties properties, String exchange, String routingKey) {
        return source == null ? null : source.value(properties, exchange, routingKey);
    }

    /** Guards against a clock ahead of this one, by which a message would have more time than its client counts. */
    private static long sentAt(Properties properties, long cameAt) {
        Long seconds = properties.number(Property.TIMESTAMP);
        long told = properties.headers().get(SENT_MS) instanceof Long millis
                ? millis * MS
                : seconds == null ? cameAt : seconds * SECOND;
        return Math.min(cameAt, told);
    }

    private static String shown(String text) {
        return text == null ? "nothing" : '"' + (text.length() > 60 ? text.substring(0, 60) + "..." : text) + '"';
    }
}
