package loftflow.listener.request;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.engine.Message;
import loftflow.protocol.ClientProtocol;

/** Parses the message in a request from its path, headers and body. */
public final class MessageRequest {
    /** The longest time from the first byte of a request to its last; for the first request, from connecting. */
    public static final long READ_TIMEOUT_MILLIS = 2500;

    private static final int MAX_TOKEN_CHARS = 200;
    private static final int MAX_DIGITS = 9;
    private static final long MICROS_PER_MILLI = 1000;
    private static final Pattern DESTINATION = Pattern.compile(ClientProtocol.DESTINATION_PATTERN);

    /** Looks up headers of a request. */
    public interface Lookup {
        /** The first value of a header of {@link ClientProtocol}; null where it is absent. */
        CharSequence get(String name);
    }

    private MessageRequest() {}

    /** Returns true for the path of messages: by itself, or followed by the ordering key of the message. */
    static boolean isMessagePath(CharSequence path) {
        String prefix = ClientProtocol.MESSAGE_PATH;
        return prefix.contentEquals(path)
                || path.length() > prefix.length() + 1
                        && path.charAt(prefix.length()) == '/'
                        && prefix.contentEquals(path.subSequence(0, prefix.length()));
    }

    /**
     * Parses the message in a request. Its deadline counts from when the client sent it, so that time in which its
     * bytes were pending is subtracted.
     *
     * @param path a path for which {@link #isMessagePath} is true
     * @param arrivedAtMicros the earliest time at which the last byte can have arrived, by the engine's clock
     * @return null where a header is missing or invalid
     */
    public static Message.Content parse(CharSequence path, Lookup headers, long arrivedAtMicros, byte[] body) {
        String orderingKey = orderingKey(path);
        String messageId = orEmpty(headers.get(ClientProtocol.MESSAGE_ID_HEADER));
        String requestClass = orEmpty(headers.get(ClientProtocol.CLASS_HEADER));
        CharSequence tenant = headers.get(ClientProtocol.TENANT_HEADER);
        CharSequence key = headers.get(ClientProtocol.IDEMPOTENCY_KEY_HEADER);
        String timeoutMillis = orEmpty(headers.get(ClientProtocol.TIMEOUT_MILLIS_HEADER));
        String destination = destination(orEmpty(headers.get(ClientProtocol.DESTINATION_HEADER)));
        if (!isToken(messageId)
                || !isNumber(timeoutMillis, 0)
                || destination == null
                || key != null && !isToken(key)
                || orderingKey != null && !isToken(orderingKey)) {
            return null;
        }
        return new Message.Content(
                messageId,
                requestClass,
                tenant == null ? null : tenant.toString(),
                key == null ? null : key.toString(),
                arrivedAtMicros + Long.parseLong(timeoutMillis) * MICROS_PER_MILLI,
                Integer.parseInt(destination),
                body,
                null,
                orderingKey);
    }

    private static String orderingKey(CharSequence path) {
        int prefixLength = ClientProtocol.MESSAGE_PATH.length();
        if (path.length() == prefixLength) {
            return null;
        }
        return path.subSequence(prefixLength + 1, path.length()).toString();
    }

    private static String destination(String header) {
        // The common case, a single field, avoids the cost of a regular expression for each message.
        int valueStart = ClientProtocol.DESTINATION_FIELD.length();
        if (header.startsWith(ClientProtocol.DESTINATION_FIELD) && isNumber(header, valueStart)) {
            return header.substring(valueStart);
        }
        Matcher matcher = DESTINATION.matcher(header);
        return matcher.matches() ? matcher.group(1) : null;
    }

    /** Returns true for 1 to {@link #MAX_TOKEN_CHARS} characters of printable ASCII without spaces. */
    private static boolean isToken(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return text.length() >= 1 && text.length() <= MAX_TOKEN_CHARS;
    }

    /** Returns true where the text from an index on is 1 to {@link #MAX_DIGITS} digits. */
    private static boolean isNumber(String text, int from) {
        for (int i = from; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return text.length() > from && text.length() - from <= MAX_DIGITS;
    }

    private static String orEmpty(CharSequence value) {
        return value == null ? "" : value.toString();
    }
}
