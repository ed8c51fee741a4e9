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

/** HTTP/1.1 on loopback with Netty's own codecs, with requests and responses as a whole. */
final class LoopbackHttp {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private LoopbackHttp() {}

    /** Listens on a port, 0 for a free one; each connection gets a handler of its own. */
    static ChannelFuture listen(EventLoopGroup loop, int port, Supplier<ChannelHandler> handlers) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        handlers.get());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", port));
    }

    /** Receives the result of a request: exactly one method is called, once. */
    interface ResponseListener {
        void onResponse(FullHttpResponse response);

        /** No connection could be established: the request was not sent. */
        void onConnectFailed();

        /** The connection was closed before a response. */
        void onConnectionLost();
    }

    /** Connections to one address, each with at most one request in flight; their number is not limited. */
    static final class ConnectionPool {
        private final EventLoopGroup loop;
        private final InetSocketAddress address;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        ConnectionPool(EventLoopGroup loop, InetSocketAddress address) {
            this.loop = loop;
            this.address = address;
        }

        /** Sends a request, which is released in any case. */
        void send(FullHttpRequest request, ResponseListener listener) {
            Connection pooled = idle.poll();
            if (pooled != null) {
                pooled.send(request, listener);
                return;
            }
            Connection connection = new Connection(this);
            connect(connection).addListener(connected -> {
                if (connected.isSuccess()) {
                    connection.send(request, listener);
                } else {
                    request.release();
                    listener.onConnectFailed();
                }
            });
        }

        private ChannelFuture connect(Connection connection) {
            return new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            connection);
                        }
                    })
                    .connect(address);
        }
    }

    private static final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ConnectionPool pool;
        private Channel channel;
        /** Null while no request is in flight. */
        private ResponseListener listener;

        Connection(ConnectionPool pool) {
            this.pool = pool;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        void send(FullHttpRequest request, ResponseListener responseListener) {
            listener = responseListener;
            channel.writeAndFlush(request);
        }

        private ResponseListener takeListener() {
            ResponseListener taken = listener;
            listener = null;
            return taken;
        }

        /** Ignores a response without a request. */
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            ResponseListener waiting = takeListener();
            if (HttpUtil.isKeepAlive(response)) {
                pool.idle.addFirst(this);
            } else {
                ctx.close();
            }
            if (waiting != null) {
                waiting.onResponse(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            pool.idle.remove(this);
            ResponseListener waiting = takeListener();
            if (waiting != null) {
                waiting.onConnectionLost();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
