package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.function.IntSupplier;
import loftflow.http.SelectiveHeaders;
import loftflow.http.StrictResponseDecoder;
import loftflow.memory.MemoryBudget;
import loftflow.protocol.HostProtocol;

/**
 * Decodes responses, exposes the status of the awaited response as soon as its status line has been received, and
 * detects malformed responses that Netty accepts. The status is valid even if the rest of the response is malformed or
 * never completes.
 */
final class ResponseDecoder extends StrictResponseDecoder {
    private static final SelectiveHeaders.Factory HEADERS = SelectiveHeaders.Factory.ofMessages(
            List.of(
                    HostProtocol.RETRY_AFTER_MILLIS_HEADER,
                    HostProtocol.CONCURRENCY_LIMITED_HEADER,
                    HostProtocol.LOAD_REPORT_HEADER),
            true);

    private final MemoryBudget.Account memory;
    private final IntSupplier bodyBytes;
    private final ResponseHeadScanner headScanner = new ResponseHeadScanner();
    private boolean hasReceived;

    /**
     * Creates a decoder.
     *
     * @param memory the account for what is held of responses that have been received in part
     * @param bodyBytes returns the heap memory of the body that is being received
     */
    ResponseDecoder(MemoryBudget.Account memory, IntSupplier bodyBytes) {
        super(HEADERS);
        this.memory = memory;
        this.bodyBytes = bodyBytes;
    }

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
        if (!memory.tryHold(heldBytes() + bodyBytes.getAsInt())) {
            ctx.fireExceptionCaught(new TooLongFrameException("the responses of all hosts take too much memory"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        memory.release();
    }
}
