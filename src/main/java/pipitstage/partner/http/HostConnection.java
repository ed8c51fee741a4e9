package pipitstage.partner.http;

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
import java.util.function.Consumer;

/**
 * One connection to a host; it carries one call at a time and is used again only after a whole answer with
 * nothing behind it.
 */
final class HostConnection extends SimpleChannelInboundHandler<HttpObject> implements HostCall.Carrier {
    /** What owns a connection: the pool of one host. */
    interface Owner {
        /** How often kept connections to the host were found not worth trusting. */
        int breaks();

        /** The connection can carry another call. */
        void free(HostConnection connection);

        /** The connection has closed. */
        void closed(HostConnection connection);

        Future<?> after(long micros, Runnable task);

        /** The connection listens for a late answer from now on; for how many microseconds. */
        long listensOn(HostConnection connection);
    }

    /** Guards against an answer that begins and never ends: hosts write theirs in one go. */
    private static final long LONGEST_ANSWER = 500_000;
    /** Guards against a second copy, or noise, right behind an answer: the next call's would be mixed up with it. */
    private static final long REST = 2_000;

    private final Owner owner;
    private final AnswerDecoder decoder = new AnswerDecoder();
    private ChannelHandlerContext context;
    private HostCall call;
    private boolean reusable;
    private boolean informational;
    private boolean answered;
    /** The call is over; only a late answer is awaited. */
    private boolean listening;
    private Future<?> timer;

    HostConnection(Owner owner) {
        this.owner = owner;
    }

    /** What the channel's pipeline is made of. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), decoder, this};
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Writes a call; only its last byte's leaving decides whether it may have run. */
    void carry(HostCall next) {
        stopTimer();
        call = next;
        reusable = false;
        decoder.await();
        next.begin(this);
        context.writeAndFlush(next.request()).addListener(sent -> {
            if (sent.isSuccess()) {
                next.sent();
            } else {
                context.close();
            }
        });
    }

    @Override
    public void listenOn() {
        listening = true;
        startTimer(owner.listensOn(this), this::close);
    }

    void retireAfter(long micros) {
        startTimer(micros, this::close);
    }

    private void startTimer(long micros, Runnable task) {
        stopTimer();
        timer = owner.after(micros, task);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    @Override
    public void close() {
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        // Guards against bytes that nobody asked for: what comes behind them can't be told apart any more.
        if (call == null) {
            ctx.close();
            return;
        }
        // Guards against an answer to a request that has not left whole: it has not run.
        if (!call.isSent()) {
            lose(HostCall::broken);
            return;
        }
        if (message.decoderResult().isFailure()) {
            lose(this::spoil);
            return;
        }
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!isSound(response)) {
                lose(this::spoil);
                return;
            }
            if (!informational) {
                reusable = HttpUtil.isKeepAlive(response);
                call.head(response);
            }
        }
        if (message instanceof HttpContent content && !informational) {
            if (!call.body(content.content())) {
                lose(this::spoil);
            } else if (content instanceof LastHttpContent) {
                HostCall done = call;
                call = null;
                answered = true;
                done.complete();
            }
        }
    }

    /** Guards against an answer whose end can't be known, and against one that leaves HTTP. */
    private static boolean isSound(HttpResponse response) {
        return !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                && !(response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH));
    }

    private void spoil(HostCall broken) {
        broken.spoilt(decoder.status());
    }

    /** The connection is of no further use, and its call ends as told. */
    private void lose(Consumer<HostCall> how) {
        HostCall lost = call;
        call = null;
        if (lost != null) {
            how.accept(lost);
        }
        context.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (answered) {
            answered = false;
            // Guards against what came with the answer and does not belong to it.
            if (reusable && !listening && !decoder.hasLeftover()) {
                int breaks = owner.breaks();
                startTimer(REST, () -> free(breaks));
            } else {
                ctx.close();
            }
        } else if (call != null && decoder.status() == AnswerDecoder.UNREADABLE) {
            lose(this::spoil);
        } else if (call != null && decoder.hasBegun()) {
            if (timer == null) {
                startTimer(LONGEST_ANSWER, () -> lose(this::spoil));
            }
            call.firstLine(decoder.status());
        }
    }

    /** Guards also against a connection that died with another one while it rested. */
    private void free(int breaks) {
        if (breaks != owner.breaks()) {
            context.close();
        } else if (context.channel().isActive()) {
            owner.free(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopTimer();
        owner.closed(this);
        lose(HostCall::broken);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
