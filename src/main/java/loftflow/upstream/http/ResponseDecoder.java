package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import loftflow.http.StrictResponseDecoder;

/**
 * Decodes responses, exposes the status of the awaited response as soon as its status line has been received, and
 * detects malformed responses that Netty accepts. The status is valid even if the rest of the response is malformed or
 * never completes.
 */
final class ResponseDecoder extends StrictResponseDecoder {
    private final ResponseHeadScanner headScanner = new ResponseHeadScanner();
    private boolean hasReceived;

    @Override
    public void awaitResponse() {
        super.awaitResponse();
        headScanner.reset();
    }

    /** As {@link #awaitResponse}, where bytes of it may have been received together with the response before. */
    void awaitResponseInLeftover() {
        awaitResponse();
        headScanner.scan(internalBuffer());
    }

    /** Returns the status of the awaited response, see {@link ResponseHeadScanner#status}. */
    int status() {
        return headScanner.status();
    }

    /** Returns whether bytes of the awaited response, or of a 1xx response before it, have been received. */
    boolean hasBegun() {
        return headScanner.hasBegun();
    }

    /** Returns whether bytes have been received since the last call of this method. */
    boolean takeReceived() {
        boolean received = hasReceived;
        hasReceived = false;
        return received;
    }

    /** {@inheritDoc} A malformed response does not prove the delivery of a batch. */
    @Override
    public boolean isMalformed() {
        return super.isMalformed() || headScanner.isMalformed();
    }

    /**
     * Returns whether the end of a response can be determined. It cannot for an unknown transfer coding, for a protocol
     * switch, and for a body with message states that is delimited only by the end of the connection, which counts as a
     * reset.
     */
    static boolean hasSupportedFraming(HttpResponse response, boolean isBatch) {
        boolean isDelimited = response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasUndelimitedStates =
                !isDelimited && isBatch && response.status().equals(HttpResponseStatus.OK);
        return !hasUndelimitedStates
                && isTransferCodingKnown(response)
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        hasReceived = true;
        headScanner.scan((ByteBuf) bytes);
        super.channelRead(ctx, bytes);
    }
}
