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
import loftflow.protocol.ClientProtocol;

/** A request while it is received: validates its head, buffers its body and parses its message. */
final class HttpRequestReader {
    private final HttpRequest head;
    private final ByteBuf body = Unpooled.buffer(0, ClientProtocol.MAX_BODY_BYTES);
    private long arrivedAtMicros;

    HttpRequestReader(HttpRequest head) {
        this.head = head;
    }

    HttpRequest head() {
        return head;
    }

    /** The response to a request whose head is not acceptable; null where it is. */
    ClientResponse rejection() {
        if (head.decoderResult().isFailure()) {
            return ClientResponse.MALFORMED;
        }
        // In HTTP/1.0 the decoder accepts repeated lengths and uses the first.
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return ClientResponse.WRONG_VERSION;
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        // With an ambiguous length, an intermediary may see a second request within the body (request smuggling).
        if (lengths.size() + codings.size() > 1
                || codings.size() == 1 && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            return ClientResponse.MALFORMED;
        }
        // The decoder has verified that a length is a number.
        return lengths.size() == 1 && Long.parseLong(lengths.get(0)) > ClientProtocol.MAX_BODY_BYTES
                ? ClientResponse.TOO_LARGE
                : null;
    }

    /** Appends a chunk of the body; returns false where the body exceeds its maximum size. */
    boolean append(ByteBuf chunk) {
        if (chunk.readableBytes() > body.maxWritableBytes()) {
            return false;
        }
        body.writeBytes(chunk);
        return true;
    }

    /** The request is complete; its last byte can have arrived no earlier than the given time. */
    void onComplete(long earliestArrivalMicros) {
        arrivedAtMicros = earliestArrivalMicros;
    }

    int bodyBytes() {
        return body.readableBytes();
    }

    /** Parses the message in the request; null where a header is missing or invalid. */
    Message.Content parseMessage() {
        return MessageRequest.parse(head.uri(), head.headers()::get, arrivedAtMicros, ByteBufUtil.getBytes(body));
    }
}
