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
import loftflow.http.SelectiveHeaders;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.MessageRequest;
import loftflow.protocol.ClientProtocol;

/** A request that is being received: validates its head, buffers its body and parses its message. */
final class HttpRequestReader {
    /** The objects of a request beside the characters of its head and the bytes of its body. */
    private static final int REQUEST_OVERHEAD_BYTES = 512;

    private final HttpRequest head;
    private final ByteBuf body = Unpooled.buffer(0, ClientProtocol.MAX_BODY_BYTES);
    private long arrivedAtMicros;

    HttpRequestReader(HttpRequest head) {
        this.head = head;
    }

    HttpRequest head() {
        return head;
    }

    /** Returns the response that rejects the request because of its head; null if the head is acceptable. */
    ClientResponse rejection() {
        if (head.decoderResult().isFailure()) {
            return ClientResponse.MALFORMED;
        }
        // For HTTP/1.0, the decoder accepts repeated Content-Length headers and uses the first one.
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return ClientResponse.WRONG_VERSION;
        }
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        // If the length is ambiguous, an intermediary may see a second request within the body (request smuggling).
        if (lengths.size() + codings.size() > 1
                || codings.size() == 1 && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            return ClientResponse.MALFORMED;
        }
        // The decoder has verified that Content-Length is a number.
        return lengths.size() == 1 && Long.parseLong(lengths.get(0)) > ClientProtocol.MAX_BODY_BYTES
                ? ClientResponse.TOO_LARGE
                : null;
    }

    /** Appends a chunk of the body; returns false if the body would exceed its maximum size. */
    boolean append(ByteBuf chunk) {
        if (chunk.readableBytes() > body.maxWritableBytes()) {
            return false;
        }
        body.writeBytes(chunk);
        return true;
    }

    /** Records the earliest time, in microseconds, at which the last byte of the complete request can have arrived. */
    void onComplete(long earliestArrivalMicros) {
        arrivedAtMicros = earliestArrivalMicros;
    }

    /** Returns whether the head gives the length of the body. */
    boolean hasLength() {
        return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    /** Returns the heap memory of what has been received, in bytes. */
    int heldBytes() {
        int headBytes = head.uri().length() + ((SelectiveHeaders) head.headers()).storedBytes();
        return REQUEST_OVERHEAD_BYTES + headBytes + body.capacity();
    }

    /** Parses the message in the request; returns null if a header is missing or invalid. */
    Message.Content parseMessage() {
        return MessageRequest.parse(head.uri(), head.headers()::get, arrivedAtMicros, ByteBufUtil.getBytes(body));
    }
}
