package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes responses, exposes the status of the awaited response as soon as its status line has been received, and tells
 * which responses another reader may read differently or not at all. The status is valid even where the rest of the
 * response is malformed or never ends.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final ResponseHeadScanner head = new ResponseHeadScanner();
    private boolean hasMalformedField;
    private int contentLengths;

    /** Starts over: the next response on the connection is the awaited one. */
    void awaitResponse() {
        head.reset();
        hasMalformedField = false;
        contentLengths = 0;
    }

    /** The status in the first line of the awaited response, see {@link ResponseHeadScanner#status}. */
    int status() {
        return head.status();
    }

    /** Returns true where bytes of the awaited response, or of a 1xx response ahead of it, have been received. */
    boolean hasBegun() {
        return head.hasBegun();
    }

    /**
     * Returns true where what has been decoded of the awaited response, or a 1xx response ahead of it, does not
     * follow the grammar of HTTP/1.1, although the decoder accepts it. Such a response is not the whole answer that
     * proves the delivery of a batch.
     */
    boolean isMalformed() {
        return head.isMalformed() || hasMalformedField || contentLengths > 1;
    }

    /** Returns true where received bytes remain that belong to no response decoded so far. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        head.scan((ByteBuf) bytes);
        super.channelRead(ctx, bytes);
    }

    /**
     * The name of a field, in a head or in a trailer. The decoder takes white space for its end, and then does not miss
     * the colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        hasMalformedField |= line[start + length] != ':';
        AsciiString name = super.splitHeaderName(line, start, length);
        // In HTTP/1.0 the decoder accepts repeated lengths and uses the first.
        contentLengths += name.contentEqualsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH) ? 1 : 0;
        return name;
    }

    /** Retains both headers where a response has two conflicting lengths, so that the reader can reject it. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
