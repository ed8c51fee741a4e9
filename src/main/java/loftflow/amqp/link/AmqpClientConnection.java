package loftflow.amqp.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.Frame;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;

/**
 * A connection to a broker (AMQP 0-9-1, section 2.2.4) that logs in with the PLAIN mechanism. Its owner opens the
 * channels.
 */
public final class AmqpClientConnection extends AmqpConnection {
    /** The protocol header, which a client sends first on every connection. */
    static final byte[] PROTOCOL_HEADER = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};

    private static final int MAX_CHANNELS = 16;
    private static final int MAX_FRAME_BYTES = 128 << 10;

    /**
     * Credentials and connection options.
     *
     * @param heartbeatSeconds the requested interval in seconds; 0 leaves it to the broker, else the shorter of both
     *     applies
     */
    public record Login(String user, String password, String virtualHost, int heartbeatSeconds) {}

    /** Receives the events of a connection, on its event loop. */
    public interface Listener {
        /** The login succeeded; channels may be opened. */
        void onOpened();

        /** A method was received: a reply, a delivery, a confirm or a notification of the broker. */
        void onCommand(Command command) throws AmqpException;

        /** The broker has paused or resumed publishing; {@link #canPublish} returns the current state. */
        void onPublishingChanged(String reason);

        /** The connection is closed or could not be opened; called exactly once. */
        void onClosed(String reason);
    }

    /**
     * Address and credentials of a broker.
     *
     * @param tls null for a plain-text connection
     * @param tlsName the host name that the certificate of the broker is verified against; null for its address
     */
    public record Broker(InetSocketAddress address, Login login, SslContext tls, String tlsName) {}

    private final Login login;
    private final Listener owner;
    private OpenProgress openProgress;
    private Future<?> openTimeout;
    /** True between {@code connection.blocked} and {@code connection.unblocked}. */
    private boolean blocked;

    /** Channels that the broker has paused by {@code channel.flow}. */
    private final Set<Integer> pausedChannels = new HashSet<>();

    private final Set<Integer> channels = new HashSet<>();
    private boolean open;
    private boolean closeReported;

    private AmqpClientConnection(Login login, int maxBodyBytes, Listener owner) {
        super(maxBodyBytes, UNLIMITED_BODY_BUDGET);
        this.login = login;
        this.owner = owner;
    }

    /**
     * Connects to a broker. Must be called on the given event loop. Until {@link #cancelOpenTimeout} is called, the
     * connection is closed where the broker takes longer than the timeout for a step of the opening: the socket, TLS,
     * or a command. Time in which this event loop is busy with the step before does not count.
     *
     * @param maxBodyBytes size of the largest message body that is buffered; larger ones are skipped
     * @param timeoutMicros time for each step
     */
    public static AmqpClientConnection connect(
            EventLoop loop, Broker broker, int maxBodyBytes, long timeoutMicros, Listener owner) {
        AmqpClientConnection connection = new AmqpClientConnection(broker.login(), maxBodyBytes, owner);
        ChannelFuture registered = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeoutMicros / 1_000))
                .handler(initializer(broker, connection))
                .register();
        // Bootstrap.connect() would connect in a later task, and the tasks in between would use up the timeout.
        ChannelFuture connected =
                registered.cause() == null ? registered.channel().connect(broker.address()) : registered;
        connection.openProgress = new OpenProgress(loop, connected.channel(), timeoutMicros);
        connection.startOpenTimeout(timeoutMicros);
        connected.addListener(done -> {
            if (done.isSuccess()) {
                connection.openProgress.onStep();
            } else {
                // If the socket can't be created, the listener is notified outside the event loop.
                loop.execute(() -> connection.onClosed(done.cause().getMessage()));
            }
        });
        return connection;
    }

    private static ChannelInitializer<Channel> initializer(Broker broker, AmqpClientConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                if (broker.tls() != null) {
                    SslHandler tls = tlsHandler(broker, channel);
                    tls.handshakeFuture().addListener(done -> connection.openProgress.onStep());
                    channel.pipeline().addLast(tls);
                }
                channel.pipeline().addLast(connection);
            }
        };
    }

    private static SslHandler tlsHandler(Broker broker, Channel channel) {
        InetSocketAddress address = broker.address();
        String host = broker.tlsName() != null
                ? broker.tlsName()
                : address.getAddress().getHostAddress();
        return broker.tls().newHandler(channel.alloc(), host, address.getPort());
    }

    private void startOpenTimeout(long delayMicros) {
        openTimeout = openProgress.loop.schedule(this::onOpenTimeout, delayMicros, TimeUnit.MICROSECONDS);
    }

    /** Closes the connection unless the broker has taken a step within the timeout. */
    private void onOpenTimeout() {
        long remainingMicros = openProgress.remainingMicros();
        if (remainingMicros > 0) {
            startOpenTimeout(remainingMicros);
        } else {
            openProgress.channel.close();
            onClosed("it did not open in time");
        }
    }

    /** When the broker last took a step of the opening, and what the timeout of the next step needs. */
    private static final class OpenProgress {
        private final EventLoop loop;
        private final Channel channel;
        private final long timeoutMicros;
        private long lastStepNanos = System.nanoTime();

        OpenProgress(EventLoop loop, Channel channel, long timeoutMicros) {
            this.loop = loop;
            this.channel = channel;
            this.timeoutMicros = timeoutMicros;
        }

        void onStep() {
            lastStepNanos = System.nanoTime();
        }

        long remainingMicros() {
            return timeoutMicros - TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - lastStepNanos);
        }
    }

    /** Cancels the timeout of {@link #connect}, as the connection is set up. */
    public void cancelOpenTimeout() {
        openTimeout.cancel(false);
    }

    /** Returns false while the broker has paused publishing on the connection or on the channel. */
    public boolean canPublish(int channel) {
        return !blocked && !pausedChannels.contains(channel);
    }

    @Override
    void onConnected() {
        sendRaw(PROTOCOL_HEADER);
    }

    /** Returns true from {@link Listener#onOpened} until the connection starts to close. */
    public boolean isOpen() {
        return open && !closeReported && !isEnding();
    }

    /** Opens a channel; the owner receives {@code CHANNEL_OPEN_OK}. */
    public void openChannel(int channel) {
        channels.add(channel);
        send(channel, Method.of(MethodType.CHANNEL_OPEN));
    }

    @Override
    boolean acceptsChannel(int channel) {
        return channel == 0 || channels.contains(channel);
    }

    @Override
    void onCommand(Command command) throws AmqpException {
        openProgress.onStep();
        Method method = command.method();
        switch (method.type()) {
            case CONNECTION_BLOCKED -> {
                blocked = true;
                owner.onPublishingChanged("the broker blocks publishers: " + method.text("reason"));
            }
            case CONNECTION_UNBLOCKED -> {
                blocked = false;
                owner.onPublishingChanged("the broker takes publishes again");
            }
            case CHANNEL_FLOW -> onFlow(command.channel(), method.flag("active"));

            default -> {
                if (command.channel() == 0) {
                    onConnection(command);
                } else {
                    owner.onCommand(command);
                }
            }
        }
    }

    private void onConnection(Command command) throws AmqpException {
        switch (command.type()) {
            case CONNECTION_START -> onStart(command.method());
            case CONNECTION_TUNE -> onTune(command.method());
            case CONNECTION_OPEN_OK -> {
                open = true;
                owner.onOpened();
            }
            default -> owner.onCommand(command);
        }
    }

    private void onFlow(int channel, boolean active) {
        if (active) {
            pausedChannels.remove(channel);
        } else {
            pausedChannels.add(channel);
        }
        send(channel, Method.of(MethodType.CHANNEL_FLOW_OK, active));
        owner.onPublishingChanged(active ? "the broker lets the flow go on" : "the broker stops the flow");
    }

    private void onStart(Method method) throws AmqpException {
        if (!(" " + method.text("mechanisms") + " ").contains(" PLAIN ")) {
            throw new AmqpException(AmqpException.NOT_ALLOWED, "the broker does not take PLAIN");
        }
        Map<String, Object> capabilities = Map.of(
                "publisher_confirms",
                true,
                "basic.nack",
                true,
                "connection.blocked",
                true,
                "consumer_cancel_notify",
                true,
                "authentication_failure_close",
                true);
        send(
                0,
                Method.of(
                        MethodType.CONNECTION_START_OK,
                        Map.<String, Object>of("product", "loftflow", "capabilities", capabilities),
                        "PLAIN",
                        "\0" + login.user() + "\0" + login.password(),
                        "en_US"));
    }

    private void onTune(Method method) throws AmqpException {
        long brokerFrameMax = method.number("frame-max");
        int frameMax = (int) (brokerFrameMax == 0 ? MAX_FRAME_BYTES : Math.min(MAX_FRAME_BYTES, brokerFrameMax));
        if (frameMax < Frame.MIN_FRAME_MAX) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "frames of " + frameMax + " bytes are too small");
        }
        long brokerChannelMax = method.number("channel-max");
        int channelMax = (int) (brokerChannelMax == 0 ? MAX_CHANNELS : Math.min(MAX_CHANNELS, brokerChannelMax));
        int brokerHeartbeat = (int) method.number("heartbeat");
        int heartbeat = login.heartbeatSeconds() == 0 || brokerHeartbeat == 0
                ? Math.max(login.heartbeatSeconds(), brokerHeartbeat)
                : Math.min(login.heartbeatSeconds(), brokerHeartbeat);
        send(0, Method.of(MethodType.CONNECTION_TUNE_OK, channelMax, (long) frameMax, heartbeat));
        applyTuning(frameMax, heartbeat);
        send(0, Method.of(MethodType.CONNECTION_OPEN, login.virtualHost()));
    }

    @Override
    void onClosed(String reason) {
        if (!closeReported) {
            closeReported = true;
            if (openTimeout != null) {
                openTimeout.cancel(false);
            }
            owner.onClosed(reason);
        }
    }
}
