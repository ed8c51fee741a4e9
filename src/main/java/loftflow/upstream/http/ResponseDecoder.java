package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes responses, exposes the status of the awaited response as soon as its status line has been received, and tells
 * which responses are malformed although Netty accepts them. The status is valid even where the rest of the
 * response is malformed or never ends.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final ResponseHeadScanner headScanner = new ResponseHeadScanner();
    private boolean hasMalformedField;
    /** The number of fields that say where the body ends. */
    private int framingFields;

    /** Starts over: the next response on the connection is the awaited one. */
    void awaitResponse() {
        headScanner.reset();
        hasMalformedField = false;
        framingFields = 0;
    }

    /** The status in the first line of the awaited response, see {@link ResponseHeadScanner#status}. */
    int status() {
        return headScanner.status();
    }

    /** Returns true where bytes of the awaited response, or of a 1xx response ahead of it, have been received. */
    boolean hasBegun() {
        return headScanner.hasBegun();
    }

    /**
     * Returns true where what has been decoded of the awaited response, or a 1xx response ahead of it, does not
     * follow the grammar of HTTP/1.1, although Netty accepts it. Such a response is not the whole one that proves the
     * delivery of a batch. A 1xx response has no body, so a length in it counts as a second one.
     */
    boolean isMalformed() {
        return headScanner.isMalformed() || hasMalformedField || framingFields > 1;
    }

    /** Returns true where received bytes remain that belong to no response decoded so far. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        headScanner.scan((ByteBuf) bytes);
        super.channelRead(ctx, bytes);
    }

    /**
     * The name of a field, in a head or in a trailer. Netty takes white space for its end, and accepts a line without
     * a colon then.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        hasMalformedField |= line[start + length] != ':';
        AsciiString name = super.splitHeaderName(line, start, length);
        boolean isFraming = name.contentEqualsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH)
                || name.contentEqualsIgnoreCase(HttpHeaderNames.TRANSFER_ENCODING);
        framingFields += isFraming ? 1 : 0;
        return name;
    }

    /** Retains both fields where a response has two conflicting lengths: by default Netty drops one. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
