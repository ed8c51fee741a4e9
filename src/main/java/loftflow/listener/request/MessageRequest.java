package loftflow.listener.request;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loftflow.engine.Message;
import loftflow.http.Headers;

/** What a client asks for, read of headers and body as any version of HTTP brings them. */
public final class MessageRequest {
    /** The largest body, in bytes. */
    public static final int MOST_BODY = 64 << 10;
    /** For a whole request, from its first byte; a connection's first one from connecting. */
    public static final long READ_MS = 2500;

    private static final int LONGEST_TOKEN = 200;
    private static final int LONGEST_NUMBER = 9;
    private static final String PATH = "/api";
    private static final String DESTINATION = "dest=";
    private static final Pattern CONSIGNEE = Pattern.compile("(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?");

    /** The first value of a header of {@link Headers}, or null. */
    public interface Lookup {
        CharSequence get(String name);
    }

    private MessageRequest() {}

    /** True of the path that messages are handed in at: by itself, or with the line of a class in order behind it. */
    static boolean isMessage(CharSequence path) {
        return PATH.contentEquals(path)
                || path.length() > PATH.length() + 1
                        && path.charAt(PATH.length()) == '/'
                        && PATH.contentEquals(path.subSequence(0, PATH.length()));
    }

    /**
     * The message that a request holds, or null where a header is missing or makes no sense. Its time counts from when
     * the client sent it, so that bytes that waited unread leave less of it.
     *
     * @param path one that {@link #isMessage} is true of; it may name the line whose order the message keeps
     * @param came when its last byte can have come at the earliest, by the engine's clock
     */
    public static Message.Content content(CharSequence path, Lookup headers, long came, byte[] body) {
        String line = path.length() == PATH.length()
                ? null
                : path.subSequence(PATH.length() + 1, path.length()).toString();
        String callId = orEmpty(headers.get(Headers.CALL_ID));
        String requestClass = orEmpty(headers.get(Headers.CALL_CLASS));
        CharSequence tenant = headers.get(Headers.CALLER);
        CharSequence key = headers.get(Headers.KEY);
        String budget = orEmpty(headers.get(Headers.BUDGET));
        String destination = destination(orEmpty(headers.get(Headers.CONSIGNEE)));
        if (!isToken(callId)
                || !isNumber(budget, 0)
                || destination == null
                || key != null && !isToken(key)
                || line != null && !isToken(line)) {
            return null;
        }
        return new Message.Content(
                callId,
                requestClass,
                tenant == null ? null : tenant.toString(),
                key == null ? null : key.toString(),
                came + Long.parseLong(budget) * 1000,
                Integer.parseInt(destination),
                body,
                null,
                line);
    }

    private static String destination(String consignee) {
        // Guards against a search with backtracking for each message, where nothing else is in the header.
        if (consignee.startsWith(DESTINATION) && isNumber(consignee, DESTINATION.length())) {
            return consignee.substring(DESTINATION.length());
        }
        Matcher matcher = CONSIGNEE.matcher(consignee);
        return matcher.matches() ? matcher.group(1) : null;
    }

    /** Printable ASCII without spaces, 1 to 200 of them. */
    private static boolean isToken(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return text.length() >= 1 && text.length() <= LONGEST_TOKEN;
    }

    /** 1 to 9 digits from a place on. */
    private static boolean isNumber(String text, int from) {
        for (int i = from; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return text.length() > from && text.length() - from <= LONGEST_NUMBER;
    }

    private static String orEmpty(CharSequence value) {
        return value == null ? "" : value.toString();
    }
}
