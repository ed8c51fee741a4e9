package loftflow.listener.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.ArrayList;
import java.util.List;
import loftflow.http.SelectiveHeaders;
import loftflow.protocol.ClientProtocol;

/**
 * Decodes requests, and tells how much memory it holds for what it has not passed on. It stores only the header fields
 * that the relay uses, and no trailers.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final SelectiveHeaders.Factory HEADERS = SelectiveHeaders.Factory.ofMessages(storedNames(), false);
    /** The objects of a head that has been received in part. */
    private static final int HEAD_OVERHEAD_BYTES = 512;

    /** The fields of the head that is being received; null between heads. */
    private SelectiveHeaders partialHead;

    private int requestLineBytes;

    RequestDecoder() {
        super(new HttpDecoderConfig()
                .setHeadersFactory(HEADERS)
                .setTrailersFactory(SelectiveHeaders.Factory.ofTrailers()));
    }

    private static List<CharSequence> storedNames() {
        List<CharSequence> names = new ArrayList<>(ClientProtocol.requestHeaders());
        names.add(HttpHeaderNames.HOST);
        return names;
    }

    /** Returns the heap memory, in bytes, of received bytes that are not decoded and of a partly received head. */
    int heldBytes() {
        int headBytes = partialHead == null ? 0 : HEAD_OVERHEAD_BYTES + requestLineBytes + partialHead.storedBytes();
        return internalBuffer().capacity() + headBytes;
    }

    @Override
    protected HttpMessage createMessage(String[] requestLine) throws Exception {
        HttpMessage head = super.createMessage(requestLine);
        partialHead = (SelectiveHeaders) head.headers();
        requestLineBytes = requestLine[0].length() + requestLine[1].length();
        return head;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> decoded) throws Exception {
        super.decode(ctx, bytes, decoded);
        if (!decoded.isEmpty()) {
            partialHead = null;
        }
    }

    /** Keeps Content-Length in a request that also has Transfer-Encoding, so that the request can be rejected. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage request) {}
}
