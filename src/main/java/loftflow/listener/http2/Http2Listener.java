package loftflow.listener.http2;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http2.CleartextHttp2ServerUpgradeHandler;
import io.netty.handler.codec.http2.Http2CodecUtil;
import io.netty.handler.codec.http2.Http2ServerUpgradeCodec;
import io.netty.util.AsciiString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import loftflow.engine.Clock;
import loftflow.engine.EventLoopLag;
import loftflow.engine.MessageAcceptor;
import loftflow.http.SelectiveHeaders;
import loftflow.listener.Listener;
import loftflow.listener.connection.Acceptor;
import loftflow.listener.connection.ConnectionLimiter;
import loftflow.listener.http2.flowcontrol.ConcurrentStreamLimit;
import loftflow.listener.http2.flowcontrol.ConnectionExpiry;
import loftflow.protocol.ClientProtocol;

/** Serves HTTP/2 clients over cleartext TCP, and divides the relay's capacity among their connections. */
public final class Http2Listener implements Listener {
    /**
     * The settings of a listener.
     *
     * @param maxConnections the maximum number of connections
     * @param streams the limits on concurrent streams
     * @param maxHeaderListBytes the maximum size of the header list of a request
     * @param windowBytes the receive window of a connection, if the pool allows it
     * @param poolBytes the maximum size of all partly received bodies together
     * @param classShares the share of each request class in the reserved half of the pool
     * @param resetsPerSecond the rate limit on RST_STREAM frames from one connection
     * @param expiry the time limits of a connection
     * @param drainTimeoutMicros the maximum time from the start of a connection's shutdown to its last response
     */
    public record Options(
            int maxConnections,
            ConcurrentStreamLimit.Bounds streams,
            int maxHeaderListBytes,
            int windowBytes,
            long poolBytes,
            Map<String, Double> classShares,
            double resetsPerSecond,
            ConnectionExpiry.TimeLimits expiry,
            long drainTimeoutMicros) {}

    /**
     * Recently used connections may be evicted too, as GOAWAY tells the client which of its streams were not accepted.
     */
    private static final long NO_MIN_IDLE_MICROS = 0;

    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** The send buffer of a socket, which limits the kernel memory for a client that does not read its responses. */
    private static final int SEND_BUFFER_BYTES = 64 << 10;
    /** The increment of the age jitter: any number of multiples of the golden ratio is spread evenly modulo 1. */
    private static final double GOLDEN_RATIO = 0.618034;

    /**
     * The logger of Netty's HTTP/2 codec, which is switched off because it logs each frame on a closed stream. The
     * reference keeps it from being garbage-collected, as the log manager holds loggers weakly.
     */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty.handler.codec.http2");

    static {
        NETTY_LOGGER.setLevel(Level.OFF);
    }

    private static final SelectiveHeaders.Factory UPGRADE_HEADERS =
            SelectiveHeaders.Factory.ofMessages(upgradeFields(), false);

    private final MessageAcceptor messageAcceptor;
    private final Clock clock;
    private final Options options;
    private final Acceptor acceptor;
    private final ConnectionLimiter<ClientSession> connections;
    private final StreamCapacity streamCapacity;
    private final ReceiveWindowPool receiveWindows;
    private long acceptedConnections;
    private boolean isDraining;

    /** Creates a listener, which listens once {@link #listen} is called. */
    public Http2Listener(MessageAcceptor messageAcceptor, Clock clock, EventLoopLag eventLoopLag, Options options) {
        this.messageAcceptor = messageAcceptor;
        this.clock = clock;
        this.options = options;
        acceptor = new Acceptor(eventLoopLag, this::onAccepted);
        connections = new ConnectionLimiter<>(
                options.maxConnections(),
                NO_MIN_IDLE_MICROS,
                clock,
                Http2Listener::readPendingHandshake,
                ClientSession::evict);
        streamCapacity = new StreamCapacity(options.streams());
        receiveWindows = new ReceiveWindowPool(clock, connections::all, options.poolBytes(), options.classShares());
    }

    private static List<CharSequence> upgradeFields() {
        List<CharSequence> names = new ArrayList<>(ClientProtocol.requestHeaders());
        names.add(HttpHeaderNames.HOST);
        names.add(Http2CodecUtil.HTTP_UPGRADE_SETTINGS_HEADER);
        return names;
    }

    /** Starts to listen at an address. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        loop.schedule(() -> check(loop), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return acceptor.open(loop, address);
    }

    private void onAccepted(Channel channel) {
        channel.config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES);
        double ageJitter = acceptedConnections++ * GOLDEN_RATIO % 1;
        ClientSession session = new ClientSessionBuilder(this, messageAcceptor, clock, channel, ageJitter).create();
        HttpServerCodec http1Codec = new HttpServerCodec(new HttpDecoderConfig()
                .setHeadersFactory(UPGRADE_HEADERS)
                .setTrailersFactory(SelectiveHeaders.Factory.ofTrailers()));
        HttpServerUpgradeHandler upgradeHandler = new HttpServerUpgradeHandler(
                http1Codec,
                protocol -> AsciiString.contentEquals(Http2CodecUtil.HTTP_UPGRADE_PROTOCOL_NAME, protocol)
                        ? new Http2ServerUpgradeCodec(session)
                        : null,
                ClientProtocol.MAX_BODY_BYTES);
        channel.pipeline()
                .addLast(
                        new CleartextHttp2ServerUpgradeHandler(http1Codec, upgradeHandler, session),
                        new UpgradeRequiredHandler());
        channel.closeFuture().addListener(closed -> session.onChannelClosed());
        connections.onOpened(session);
    }

    Options options() {
        return options;
    }

    Acceptor acceptor() {
        return acceptor;
    }

    ConnectionLimiter<ClientSession> connections() {
        return connections;
    }

    StreamCapacity streamCapacity() {
        return streamCapacity;
    }

    ReceiveWindowPool receiveWindows() {
        return receiveWindows;
    }

    boolean isDraining() {
        return isDraining;
    }

    private void check(EventLoop loop) {
        loop.schedule(() -> check(loop), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        long nowMicros = clock.micros();
        streamCapacity.observe(
                messageAcceptor.utilization(), nowMicros - acceptor.earliestByteArrivalMicros(), nowMicros);
        int streamLimit = streamCapacity.perConnection();
        connections.all().forEach(session -> session.check(nowMicros, streamLimit));
        receiveWindows.reclaimForWaiting(nowMicros);
    }

    /** Starts a graceful shutdown of every connection, including those accepted later. Open streams finish. */
    @Override
    public void drain() {
        drain(options.drainTimeoutMicros());
    }

    /** Starts a graceful shutdown of every connection, with a time limit in microseconds for open streams. */
    public void drain(long timeoutMicros) {
        isDraining = true;
        readPending();
        long deadlineMicros = clock.micros() + timeoutMicros;
        connections.all().forEach(session -> session.drain(deadlineMicros));
    }

    /**
     * Also reads from connections in their handshake: they may have pending streams and have received no GOAWAY yet.
     */
    @Override
    public void readPending() {
        acceptor.acceptPending();
        connections.all().forEach(Http2Listener::readPendingHandshake);
    }

    /**
     * Reads pending bytes if the connection is in its handshake, as a connection that has received nothing ends without
     * a GOAWAY. After the handshake this is not needed: GOAWAY carries the id of the last accepted stream, and the
     * client resubmits later streams elsewhere.
     */
    private static void readPendingHandshake(ClientSession session) {
        if (!session.isHandshakeComplete()) {
            session.readPending();
        }
    }

    @Override
    public boolean isIdle() {
        return connections.all().stream().allMatch(ClientSession::isFinished);
    }

    @Override
    public boolean hasRequestInProgress() {
        return connections.all().stream().anyMatch(ClientSession::hasRequestInProgress);
    }

    @Override
    public void stopListening() {
        acceptor.close();
    }
}
