package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import loftflow.http.StrictResponseDecoder;

/**
 * Decodes responses, exposes the status of the awaited response as soon as its status line has been received, and tells
 * which responses are malformed although Netty accepts them. The status is valid even where the rest of the response is
 * malformed or never ends.
 */
final class ResponseDecoder extends StrictResponseDecoder {
    private final ResponseHeadScanner headScanner = new ResponseHeadScanner();

    @Override
    public void awaitResponse() {
        super.awaitResponse();
        headScanner.reset();
    }

    /** The status in the first line of the awaited response, see {@link ResponseHeadScanner#status}. */
    int status() {
        return headScanner.status();
    }

    /** Returns true where bytes of the awaited response, or of a 1xx response ahead of it, have been received. */
    boolean hasBegun() {
        return headScanner.hasBegun();
    }

    /** {@inheritDoc} Such a response is not the whole one that proves the delivery of a batch. */
    @Override
    public boolean isMalformed() {
        return super.isMalformed() || headScanner.isMalformed();
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
}
