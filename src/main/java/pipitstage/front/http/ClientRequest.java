package pipitstage.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pipitstage.engine.Message;
import pipitstage.http.Headers;

/** A client's request as it comes in: whether it can be read at all, and the message that it holds. */
final class ClientRequest {
    private static final int MOST_BODY = 64 << 10;
    private static final Pattern TOKEN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final Pattern MILLIS = Pattern.compile("\\d{1,9}");
    private static final Pattern CONSIGNEE = Pattern.compile("(?:.*[;,\\s])?dest=(\\d{1,9})(?:[;,\\s].*)?");

    private final HttpRequest head;
    private final ByteBuf body = Unpooled.buffer(0, MOST_BODY);
    private long came;

    ClientRequest(HttpRequest head) {
        this.head = head;
    }

    HttpRequest head() {
        return head;
    }

    /** Why the request can't be read, told from its head alone; null where nothing speaks against it. */
    HttpResponseStatus refusal() {
        if (head.decoderResult().isFailure()) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        // Guards against repeated lengths, of which the decoder takes the first in HTTP/1.0.
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        // Guards against a second request hidden in the body, for those who heed the other of the two.
        if (lengths.size() + codings.size() > 1
                || codings.size() == 1 && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        // The decoder has made sure that a length is a number.
        return lengths.size() == 1 && Long.parseLong(lengths.get(0)) > MOST_BODY
                ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : null;
    }

    /** Takes in a piece of the body; false where the body is larger than any may be. */
    boolean add(ByteBuf piece) {
        if (piece.readableBytes() > body.maxWritableBytes()) {
            return false;
        }
        body.writeBytes(piece);
        return true;
    }

    /** The request is whole; its last byte can have come no earlier than this. */
    void cameAt(long time) {
        came = time;
    }

    int size() {
        return body.readableBytes();
    }

    /**
     * The message that the request holds, or null where a header is missing or makes no sense. Its time counts from
     * when the client sent it, so that bytes that waited unread leave less of it.
     */
    Message.Content content() {
        HttpHeaders headers = head.headers();
        String callId = headers.get(Headers.CALL_ID, "");
        String requestClass = headers.get(Headers.CALL_CLASS, "");
        String tenant = headers.get(Headers.CALLER);
        String key = headers.get(Headers.KEY);
        String budget = headers.get(Headers.BUDGET, "");
        Matcher consignee = CONSIGNEE.matcher(headers.get(Headers.CONSIGNEE, ""));
        if (!TOKEN.matcher(callId).matches() || !MILLIS.matcher(budget).matches() || !consignee.matches()
                || key != null && !TOKEN.matcher(key).matches()) {
            return null;
        }
        return new Message.Content(callId, requestClass, tenant, key, came + Long.parseLong(budget) * 1000,
                Integer.parseInt(consignee.group(1)), ByteBufUtil.getBytes(body));
    }
}
