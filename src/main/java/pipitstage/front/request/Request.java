package pipitstage.front.request;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pipitstage.engine.Message;
import pipitstage.http.Headers;

/** What a client asks for, read of headers and body as any version of HTTP brings them. */
public final class Request {
    /** The largest body, in bytes. */
    public static final int MOST_BODY = 64 << 10;
    /** For a whole request, from its first byte; a connection's first one from connecting. */
    public static final long READ_MS = 2500;

    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final Pattern MILLIS = Pattern.compile("\\d{1,9}");
    private static final Pattern CONSIGNEE = Pattern.compile("(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?");

    /** The first value of a header of {@link Headers}, or null. */
    public interface Lookup {
        CharSequence get(String name);
    }

    private Request() { }

    /**
     * The message that a request holds, or null where a header is missing or makes no sense. Its time counts from when
     * the client sent it, so that bytes that waited unread leave less of it.
     *
     * @param came when its last byte can have come at the earliest, by the engine's clock
     */
    public static Message.Content content(Lookup headers, long came, byte[] body) {
        String callId = orEmpty(headers.get(Headers.CALL_ID));
        String requestClass = orEmpty(headers.get(Headers.CALL_CLASS));
        CharSequence tenant = headers.get(Headers.CALLER);
        CharSequence key = headers.get(Headers.KEY);
        String budget = orEmpty(headers.get(Headers.BUDGET));
        Matcher consignee = CONSIGNEE.matcher(orEmpty(headers.get(Headers.CONSIGNEE)));
        if (!TOKEN.matcher(callId).matches() || !MILLIS.matcher(budget).matches() || !consignee.matches()
                || key != null && !TOKEN.matcher(key).matches()) {
            return null;
        }
        return new Message.Content(callId, requestClass, tenant == null ? null : tenant.toString(),
                key == null ? null : key.toString(), came + Long.parseLong(budget) * 1000,
                Integer.parseInt(consignee.group(1)), body);
    }

    private static String orEmpty(CharSequence value) {
        return value == null ? "" : value.toString();
    }
}
