package loftflow.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes responses and detects violations of the HTTP/1.1 grammar (RFC 9112) that Netty accepts: a status line with
 * another version or a status code that is not three digits, a field line without a colon or with white space in or
 * after the name, and more than one field that determines the length of the body.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("\\d{3}");

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    private boolean hasMalformedLine;
    /** The number of fields that determine the length of the body: Content-Length and Transfer-Encoding. */
    private int framingFieldCount;
    /** The fields of the head that is being received; null between heads. */
    private SelectiveHeaders partialHead;

    /** Creates a decoder of responses, which store the given headers. */
    public StrictResponseDecoder(SelectiveHeaders.Factory headers) {
        super(new HttpDecoderConfig()
                .setHeadersFactory(headers)
                .setTrailersFactory(SelectiveHeaders.Factory.ofTrailers()));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        AdaptiveRecvByteBufAllocator sizes =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        ctx.channel().config().setRecvByteBufAllocator(new HeapReceiveAllocator(sizes, () -> MAX_READ_BYTES));
    }

    /** Resets the checks for the next response on the connection. */
    public void awaitResponse() {
        hasMalformedLine = false;
        framingFieldCount = 0;
    }

    /**
     * Returns whether the part decoded so far of the awaited response, or of a 1xx response before it, is malformed. A
     * 1xx response has no body, so its framing fields count together with those of the awaited response.
     */
    public boolean isMalformed() {
        return hasMalformedLine || framingFieldCount > 1;
    }

    /** Returns the heap memory, in bytes, of received bytes that are not decoded and of a partly received head. */
    public int heldBytes() {
        return internalBuffer().capacity() + (partialHead == null ? 0 : partialHead.storedBytes());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> decoded) throws Exception {
        super.decode(ctx, bytes, decoded);
        if (!decoded.isEmpty()) {
            partialHead = null;
        }
    }

    /** Returns whether received bytes remain that are not part of any decoded response. */
    public boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether the body of a response has no transfer coding or is chunked; all other codings are unknown. */
    public static boolean isTransferCodingKnown(HttpResponse response) {
        String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        return coding == null || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        hasMalformedLine |= !VERSION.matcher(statusLine[0]).matches()
                || !STATUS.matcher(statusLine[1]).matches();
        HttpMessage head = super.createMessage(statusLine);
        partialHead = (SelectiveHeaders) head.headers();
        return head;
    }

    /**
     * Returns the name of a field in a header or trailer section. Netty also ends the name at white space, and then
     * accepts a line without a colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        hasMalformedLine |= line[start + length] != ':';
        AsciiString name = super.splitHeaderName(line, start, length);
        boolean isFraming = name.contentEqualsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH)
                || name.contentEqualsIgnoreCase(HttpHeaderNames.TRANSFER_ENCODING);
        framingFieldCount += isFraming ? 1 : 0;
        return name;
    }

    /** Keeps both fields of a response with Transfer-Encoding and Content-Length; Netty by default drops the latter. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
