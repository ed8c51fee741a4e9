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
import loftflow.http.UnreadBytes;

/**
 * One connection to a host; it carries one call at a time and is used again only after a whole answer with
 * nothing behind it.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements UpstreamCall.Carrier {
    /** What owns a connection: the pool of one host. */
    interface Owner {
        /** How often kept connections to the host were found not worth trusting. */
        int breaks();

        /** The connection can carry another call. */
        void free(UpstreamConnection connection);

        /** The connection can carry another call once it has rested; false where one waits for it, or nothing may. */
        boolean rests(UpstreamConnection connection);

        /** The connection has closed. */
        void closed(UpstreamConnection connection);

        Future<?> after(long micros, Runnable task);

        /** The connection listens for a late answer from now on; for how many microseconds. */
        long listensOn(UpstreamConnection connection);
    }

    /** Guards against an answer that begins and never ends: hosts write theirs in one go. */
    private static final long LONGEST_ANSWER = 500_000;
    /** Guards against a second copy, or noise, right behind an answer: the next call's would be mixed up with it. */
    private static final long REST = TimeUnit.MILLISECONDS.toNanos(2);

    private final Owner owner;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private ChannelHandlerContext context;
    private UpstreamCall call;
    private boolean reusable;
    private boolean informational;
    private boolean answered;
    /** The call is over; only a late answer is awaited. */
    private boolean listening;

    private long restedAt;
    /** When bytes last went over it, or it came up: from then on it stands idle, to its host too. */
    private long quietSince = System.nanoTime();

    private final ConnectionTimer timer;
    private boolean isNew = true;

    UpstreamConnection(Owner owner) {
        this.owner = owner;
        timer = new ConnectionTimer((nanos, task) -> owner.after(TimeUnit.NANOSECONDS.toMicros(nanos), task));
    }

    /** What the channel's pipeline is made of. */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), decoder, this};
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** True until it has carried a call. */
    boolean isNew() {
        return isNew;
    }

    /** Writes a call; only its last byte's leaving decides whether it may have run. */
    void carry(UpstreamCall next) {
        timer.stop();
        call = next;
        isNew = false;
        reusable = false;
        decoder.await();
        next.begin(this);
        context.writeAndFlush(next.request()).addListener(sent -> {
            if (sent.isSuccess()) {
                quietSince = System.nanoTime();
                next.sent();
            } else {
                context.close();
            }
        });
    }

    @Override
    public void listenOn() {
        listening = true;
        timer.start(owner.listensOn(this), TimeUnit.MICROSECONDS, this::close);
    }

    /**
     * Closes once it has stood idle for a span, which taking it for a call that is not sent in the end does not begin
     * anew.
     */
    void retireAfter(long micros) {
        long left = quietSince + TimeUnit.MICROSECONDS.toNanos(micros) - System.nanoTime();
        timer.start(Math.max(0, left), TimeUnit.NANOSECONDS, this::close);
    }

    /**
     * True where a call may leave on it. Guards against a timer that is late, as the loop has had no CPU, and against
     * an end
     * that has come and is not read yet: a call that is written then ends as a reset, and may have run.
     */
    boolean isFit(long idleMicros) {
        readWhatCame();
        return context.channel().isActive()
                && System.nanoTime() - quietSince < TimeUnit.MICROSECONDS.toNanos(idleMicros);
    }

    @Override
    public void readWhatCame() {
        UnreadBytes.read(context.channel());
    }

    /** True where nothing has come behind its last answer for long enough. */
    boolean hasRested() {
        return System.nanoTime() - restedAt >= 0;
    }

    /** Becomes free by itself as soon as it has rested. */
    void freeOnceRested() {
        int breaks = owner.breaks();
        timer.start(Math.max(0, restedAt - System.nanoTime()), TimeUnit.NANOSECONDS, () -> free(breaks));
    }

    @Override
    public void close() {
        // Guards against a connection that is found idle still while its end is being told.
        owner.closed(this);
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        quietSince = System.nanoTime();
        // Guards against bytes that nobody asked for: what comes behind them can't be told apart any more.
        if (call == null) {
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            call.told(response);
        }
        // Guards against an answer to a request that has not left whole: it has not run.
        if (!call.isSent()) {
            lose(UpstreamCall::broken);
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
                UpstreamCall done = call;
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

    private void spoil(UpstreamCall broken) {
        broken.spoilt(decoder.status());
    }

    /** The connection is of no further use, and its call ends as told. */
    private void lose(Consumer<UpstreamCall> how) {
        UpstreamCall lost = call;
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
                restedAt = System.nanoTime() + REST;
                if (!owner.rests(this)) {
                    freeOnceRested();
                }
            } else {
                ctx.close();
            }
        } else if (call != null && decoder.status() == ResponseDecoder.UNREADABLE) {
            lose(this::spoil);
        } else if (call != null && decoder.hasBegun()) {
            if (!timer.isRunning()) {
                timer.start(LONGEST_ANSWER, TimeUnit.MICROSECONDS, () -> lose(this::spoil));
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
        timer.end();
        owner.closed(this);
        lose(UpstreamCall::broken);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
