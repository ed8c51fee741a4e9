package pipitstage.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;

/** One connection to a host; it carries one call at a time and is used again only after a whole answer. */
final class HostConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final long LONGEST_BODY = 5_000_000;

    private final HostClient client;
    private final HostClient.Host host;
    private ChannelHandlerContext context;
    private HostCall call;
    private boolean reusable;
    private boolean informational;
    private Future<?> retirement;

    HostConnection(HostClient client, HostClient.Host host) {
        this.client = client;
        this.host = host;
    }

    HostClient.Host host() {
        return host;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Writes a call; only its last byte's leaving decides whether it may have run. */
    void carry(HostCall next) {
        stopRetirement();
        call = next;
        reusable = false;
        next.begin(this);
        context.writeAndFlush(next.request()).addListener(sent -> {
            if (sent.isSuccess()) {
                next.sent();
            } else {
                context.close();
            }
        });
    }

    void retireAfter(long micros) {
        stopRetirement();
        retirement = client.after(micros, this::close);
    }

    private void stopRetirement() {
        if (retirement != null) {
            retirement.cancel(false);
        }
    }

    void close() {
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        // Guards against an answer that nobody asked for, or that no one can read: the state is unknown.
        if (call == null || message.decoderResult().isFailure()) {
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (!informational) {
                reusable = HttpUtil.isKeepAlive(response);
                // Guards against an answer that tells its outcome and then never ends.
                retireAfter(LONGEST_BODY);
                call.head(response);
            }
        }
        if (message instanceof HttpContent content && !informational) {
            if (!call.body(content.content())) {
                ctx.close();
            } else if (content instanceof LastHttpContent) {
                answered(ctx);
            }
        }
    }

    private void answered(ChannelHandlerContext ctx) {
        HostCall done = call;
        call = null;
        done.complete();
        // Guards against a connection whose last request has not left whole.
        if (reusable && done.isSent()) {
            client.free(this);
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopRetirement();
        client.closed(this);
        if (call != null) {
            HostCall broken = call;
            call = null;
            broken.broken();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
