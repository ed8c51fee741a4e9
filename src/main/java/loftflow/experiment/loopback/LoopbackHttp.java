package loftflow.experiment.loopback;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.Supplier;

/** HTTP/1.1 on loopback by Netty's own codecs, as all around a relay speak it: whole requests, whole answers. */
final class LoopbackHttp {
    private static final int LARGEST = 1 << 20;

    private LoopbackHttp() {}

    /** Listens on a port, 0 for a free one; each connection's requests go to a handler of its own. */
    static ChannelFuture listen(EventLoopGroup loop, int port, Supplier<ChannelHandler> handlers) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LARGEST), handlers.get());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", port));
    }

    /** What becomes of a request; one of them happens, once. */
    interface Reply {
        void answered(FullHttpResponse response);

        /** No connection was to be had: the request never left. */
        void unreached();

        /** The connection ended before an answer. */
        void cut();
    }

    /** Connections to one address, each with at most one request on it; there are as many as are needed at once. */
    static final class Pool {
        private final EventLoopGroup loop;
        private final InetSocketAddress address;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        Pool(EventLoopGroup loop, InetSocketAddress address) {
            this.loop = loop;
            this.address = address;
        }

        /** Sends a request, which is released whatever becomes of it. */
        void send(FullHttpRequest request, Reply reply) {
            Connection rested = idle.poll();
            if (rested != null) {
                rested.send(request, reply);
                return;
            }
            Connection connection = new Connection(this);
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST), connection);
                        }
                    })
                    .connect(address)
                    .addListener(connected -> {
                        if (connected.isSuccess()) {
                            connection.send(request, reply);
                        } else {
                            request.release();
                            reply.unreached();
                        }
                    });
        }
    }

    private static final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Pool pool;
        private Channel channel;
        private Reply reply;

        Connection(Pool pool) {
            this.pool = pool;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void send(FullHttpRequest request, Reply awaited) {
            reply = awaited;
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Reply awaited = reply;
            reply = null;
            if (HttpUtil.isKeepAlive(response)) {
                pool.idle.addFirst(this);
            } else {
                ctx.close();
            }
            // Guards against an answer that nobody asked for.
            if (awaited != null) {
                awaited.answered(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            pool.idle.remove(this);
            Reply awaited = reply;
            reply = null;
            if (awaited != null) {
                awaited.cut();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
