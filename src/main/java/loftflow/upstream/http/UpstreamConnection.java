package loftflow.upstream.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loftflow.http.ConnectionTimer;
import loftflow.http.StrictResponseDecoder;
import loftflow.http.UnreadBytes;

/**
 * One connection to a host. It carries one call at a time and is reused only after a complete response with nothing
 * behind it.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements UpstreamCall.Carrier {
    /** Owns a connection: the connection pool of one host. */
    interface Owner {
        /** The number of times that idle connections to the host were found unreliable and closed. */
        int idleClosures();

        /** The connection can carry another call. */
        void onReusable(UpstreamConnection connection);

        /**
         * The connection can carry another call after its settle time.
         *
         * @return false where a call waits for the connection, or where it may not stay idle
         */
        boolean offerSettling(UpstreamConnection connection);

        /** The connection has closed. */
        void onClosed(UpstreamConnection connection);

        /** Schedules a task on the event loop. */
        Future<?> schedule(long delayMicros, Runnable task);

        /** The connection awaits a late response from now on; returns for how many microseconds. */
        long onAwaitingLateResponse(UpstreamConnection connection);
    }

    /** The longest time from the first byte of a response to its last; hosts write theirs at once. */
    private static final long MAX_RESPONSE_MICROS = 500_000;
    /**
     * The settle time after a response. Bytes that follow within it, such as a second copy of the response, close the
     * connection before they can be taken for the response to the next call.
     */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final Owner owner;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private ChannelHandlerContext context;
    /** The call without a complete response; null where there is none. */
    private UpstreamCall call;

    private boolean isReusable;
    private boolean isInformational;
    private boolean isResponseComplete;
    /** The call has timed out; only its late response is awaited. */
    private boolean isAwaitingLateResponse;

    private long settledAtNanos;
    /** When the last byte was sent or received, or the connection came up: the host's idle timeout runs from there. */
    private long idleSinceNanos = System.nanoTime();

    private final ConnectionTimer timer;
    private boolean isNew = true;

    UpstreamConnection(Owner owner) {
        this.owner = owner;
        timer = new ConnectionTimer((nanos, task) -> owner.schedule(TimeUnit.NANOSECONDS.toMicros(nanos), task));
    }

    /** The handlers of the channel's pipeline, in order. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), decoder, this};
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Returns true until the connection has carried a call. */
    boolean isNew() {
        return isNew;
    }

    /** Writes a call. It counts as sent, and may have run, once its last byte is written. */
    void carry(UpstreamCall next) {
        timer.stop();
        call = next;
        isNew = false;
        isReusable = false;
        decoder.awaitResponse();
        next.onConnectionAssigned(this);
        context.writeAndFlush(next.createRequest()).addListener(written -> {
            if (written.isSuccess()) {
                idleSinceNanos = System.nanoTime();
                next.onSent();
            } else {
                context.close();
            }
        });
    }

    @Override
    public void awaitLateResponse() {
        isAwaitingLateResponse = true;
        timer.start(owner.onAwaitingLateResponse(this), TimeUnit.MICROSECONDS, this::close);
    }

    /**
     * Closes the connection once it has been idle for a time. A call that takes it and is not sent in the end does not
     * restart that time.
     */
    void closeAfterIdle(long idleTimeoutMicros) {
        long leftNanos = idleSinceNanos + TimeUnit.MICROSECONDS.toNanos(idleTimeoutMicros) - System.nanoTime();
        timer.start(Math.max(0, leftNanos), TimeUnit.NANOSECONDS, this::close);
    }

    /**
     * Returns true where a call may be written. The check does not rely on the idle timer, which may be late, and reads
     * a pending end of the connection first: a call that crosses that end is reset and may have run.
     */
    boolean isUsable(long idleTimeoutMicros) {
        readPending();
        return context.channel().isActive()
                && System.nanoTime() - idleSinceNanos < TimeUnit.MICROSECONDS.toNanos(idleTimeoutMicros);
    }

    @Override
    public void readPending() {
        UnreadBytes.read(context.channel());
    }

    /** Returns true where the settle time after the last response is over. */
    boolean isSettled() {
        return System.nanoTime() - settledAtNanos >= 0;
    }

    /** Offers itself for the next call as soon as its settle time is over. */
    void becomeReusableOnceSettled() {
        int idleClosures = owner.idleClosures();
        long leftNanos = Math.max(0, settledAtNanos - System.nanoTime());
        timer.start(leftNanos, TimeUnit.NANOSECONDS, () -> becomeReusable(idleClosures));
    }

    @Override
    public void close() {
        // The owner is notified first, so that it does not select the connection while the close is in progress.
        owner.onClosed(this);
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        idleSinceNanos = System.nanoTime();
        // Bytes that no call awaits make it impossible to tell where a later response begins.
        if (call == null) {
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            call.onRetryAfter(response);
        }
        // A request that was not written whole when its response came has not run.
        if (!call.isSent()) {
            fail(UpstreamCall::onConnectionLost);
            return;
        }
        if (message.decoderResult().isFailure() || decoder.isMalformed()) {
            fail(this::endAsMalformed);
            return;
        }
        if (message instanceof HttpResponse response && !readHead(response)) {
            return;
        }
        if (message instanceof HttpContent content && !isInformational) {
            readContent(content);
        }
    }

    /** Reads the head of a response; returns false where the call has failed by it. */
    private boolean readHead(HttpResponse response) {
        isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        // A head that began before the call was written is no response to it.
        boolean isAwaited = isInformational || response.status().code() == decoder.status();
        if (!isAwaited || !isReadable(response)) {
            fail(this::endAsMalformed);
            return false;
        }
        if (!isInformational) {
            isReusable = HttpUtil.isKeepAlive(response);
            call.onHead(response);
        }
        return true;
    }

    private void readContent(HttpContent content) {
        if (!call.onBody(content.content())) {
            fail(this::endAsMalformed);
        } else if (content instanceof LastHttpContent) {
            UpstreamCall completed = call;
            call = null;
            isResponseComplete = true;
            completed.onResponseComplete();
        }
    }

    /**
     * Returns false for a response whose transfer coding is not known, for one that leaves HTTP, and for one that tells
     * the end of each message by a body that only the end of the connection delimits: that end counts as a reset.
     */
    private boolean isReadable(HttpResponse response) {
        boolean isDelimited = response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                || response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean isWhole = isDelimited || !call.isBatch() || !response.status().equals(HttpResponseStatus.OK);
        return isWhole
                && StrictResponseDecoder.isTransferCodingKnown(response)
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    private void endAsMalformed(UpstreamCall malformed) {
        malformed.onMalformedResponse(decoder.status());
    }

    /** Closes the connection, after its call, if any, has been ended in the given way. */
    private void fail(Consumer<UpstreamCall> endCall) {
        UpstreamCall failed = call;
        call = null;
        if (failed != null) {
            endCall.accept(failed);
        }
        context.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (isResponseComplete) {
            isResponseComplete = false;
            reuseOrClose(ctx);
        } else if (call != null && decoder.status() == ResponseHeadScanner.STATUS_MALFORMED) {
            fail(this::endAsMalformed);
        } else if (call != null && decoder.hasBegun()) {
            if (!timer.isRunning()) {
                timer.start(MAX_RESPONSE_MICROS, TimeUnit.MICROSECONDS, () -> fail(this::endAsMalformed));
            }
            call.onStatusLine(decoder.status());
        }
    }

    private void reuseOrClose(ChannelHandlerContext ctx) {
        // Leftover bytes arrived with the response and do not belong to it.
        if (!isReusable || isAwaitingLateResponse || decoder.hasLeftover()) {
            ctx.close();
            return;
        }
        settledAtNanos = System.nanoTime() + SETTLE_NANOS;
        if (!owner.offerSettling(this)) {
            becomeReusableOnceSettled();
        }
    }

    /** Offers itself for the next call, unless idle connections to the host were found unreliable meanwhile. */
    private void becomeReusable(int idleClosuresBefore) {
        if (idleClosuresBefore != owner.idleClosures()) {
            context.close();
        } else if (context.channel().isActive()) {
            owner.onReusable(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timer.end();
        owner.onClosed(this);
        fail(UpstreamCall::onConnectionLost);
    }

    /**
     * A connection that is reset has not ended a response, as one that is closed may do. A response that has begun
     * shows that the host was reached, which a reset in its place does not.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(decoder.hasBegun() ? this::endAsMalformed : UpstreamCall::onConnectionLost);
    }
}
