package loftflow.upstream.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Collection;
import java.util.List;
import loftflow.engine.Message;
import loftflow.protocol.HostProtocol;

/** Creates the requests of calls, without the timeout header. An authority is the host's address and port. */
final class RequestFactory {
    private static final byte[] EMPTY_BODY = new byte[0];

    private RequestFactory() {}

    static FullHttpRequest createProbe(String authority, String path) {
        return create(authority, HttpMethod.GET, path, EMPTY_BODY);
    }

    /** Creates the request of a call that carries messages. */
    static FullHttpRequest createCall(String authority, boolean isBatch, List<Message.Attempt> attempts) {
        return isBatch
                ? createBatch(authority, attempts)
                : createSingle(authority, attempts.get(0).message().content());
    }

    private static FullHttpRequest createSingle(String authority, Message.Content content) {
        FullHttpRequest request = create(authority, HttpMethod.POST, HostProtocol.SINGLE_PATH, content.body());
        request.headers().set(HostProtocol.MESSAGE_ID_HEADER, content.messageId());
        if (content.key() != null) {
            request.headers().set(HostProtocol.IDEMPOTENCY_KEY_HEADER, content.key());
        }
        return request;
    }

    private static FullHttpRequest createBatch(String authority, Collection<Message.Attempt> attempts) {
        byte[] body = BatchCodec.encode(attempts);
        FullHttpRequest request = create(authority, HttpMethod.POST, HostProtocol.BATCH_PATH, body);
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, HostProtocol.BATCH_CONTENT_TYPE);
        return request;
    }

    private static FullHttpRequest create(String authority, HttpMethod method, String path, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, authority);
        if (method == HttpMethod.POST) {
            HttpUtil.setContentLength(request, body.length);
        }
        return request;
    }
}
