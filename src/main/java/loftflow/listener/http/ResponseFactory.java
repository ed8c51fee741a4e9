package loftflow.listener.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import loftflow.listener.request.ClientResponse;

/** Creates HTTP/1.1 responses. */
final class ResponseFactory {
    private static final Map<ClientResponse, ByteBuf> ENCODED = new EnumMap<>(ClientResponse.class);

    static {
        for (ClientResponse response : ClientResponse.values()) {
            ENCODED.put(response, encode(response));
        }
    }

    private ResponseFactory() {}

    private static ByteBuf encode(ClientResponse response) {
        String head = HttpVersion.HTTP_1_1 + " " + response.status() + "\r\n" + HttpHeaderNames.CONTENT_LENGTH
                + ": 0\r\n\r\n";
        return Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII));
    }

    /** Returns the pre-encoded bytes of a response without optional headers, which is the common case. */
    static ByteBuf encoded(ClientResponse response) {
        return ENCODED.get(response).duplicate();
    }

    /** Creates the interim response 100 (Continue), after which a client sends its body. */
    static FullHttpResponse createContinue() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Creates a response with optional headers.
     *
     * @param retryAfterMicros the value of {@code Retry-After} in microseconds; 0 for no such header
     * @param isLast whether the connection is closed after the response
     */
    static FullHttpResponse create(ClientResponse response, long retryAfterMicros, boolean isLast) {
        FullHttpResponse created =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(created, 0);
        if (isLast) {
            created.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (retryAfterMicros > 0) {
            created.headers().set(HttpHeaderNames.RETRY_AFTER, ClientResponse.retryAfter(retryAfterMicros));
        }
        return created;
    }
}
