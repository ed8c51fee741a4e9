package loftflow.listener.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loftflow.engine.Message;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.MessageRequest;

/** A client's request as it comes in: whether it can be read at all, and the message that it holds. */
final class HttpRequestReader {
    private final HttpRequest head;
    private final ByteBuf body = Unpooled.buffer(0, MessageRequest.MOST_BODY);
    private long came;

    HttpRequestReader(HttpRequest head) {
        this.head = head;
    }

    HttpRequest head() {
        return head;
    }

    /** Why the request can't be read, told from its head alone; null where nothing speaks against it. */
    ClientResponse refusal() {
        if (head.decoderResult().isFailure()) {
            return ClientResponse.MALFORMED;
        }
        // Guards against repeated lengths, of which the decoder takes the first in HTTP/1.0.
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return ClientResponse.WRONG_VERSION;
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        // Guards against a second request hidden in the body, for those who heed the other of the two.
        if (lengths.size() + codings.size() > 1
                || codings.size() == 1 && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            return ClientResponse.MALFORMED;
        }
        // The decoder has made sure that a length is a number.
        return lengths.size() == 1 && Long.parseLong(lengths.get(0)) > MessageRequest.MOST_BODY
                ? ClientResponse.TOO_LARGE
                : null;
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

    /** The message that the request holds, or null where a header is missing or makes no sense. */
    Message.Content content() {
        return MessageRequest.content(head.uri(), head.headers()::get, came, ByteBufUtil.getBytes(body));
    }
}
