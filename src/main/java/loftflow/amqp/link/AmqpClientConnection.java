package loftflow.amqp.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
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
 * A connection to a broker (AMQP 0-9-1, section 2.2.4), which logs in by PLAIN and opens channels that are asked for.
 */
public final class AmqpClientConnection extends AmqpConnection {
    /** The first bytes of every connection. */
    static final byte[] GREETING = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};

    private static final int MOST_CHANNELS = 16;
    private static final int MOST_FRAME = 128 << 10;

    /**
     * How to log in.
     *
     * @param heartbeat seconds; 0 for none, and the broker may ask for less
     */
    public record Login(String user, String password, String virtualHost, int heartbeat) {}

    /** What a link is for. */
    public interface Owner {
        /** The broker has let this side in; channels may be opened. */
        void opened();

        /** A method has come: an answer, a delivery, a confirm, or what the broker has to say of its own accord. */
        void received(Command command) throws AmqpException;

        /** The broker asks for a wait with publishes, or takes that back; {@link #mayPublish} tells which. */
        void publishing(String why);

        /** The connection is over, whether it was ever open or not; called once. */
        void closed(String reason);
    }

    /**
     * A broker, and how to log in.
     *
     * @param tls null where the connection is plain
     * @param tlsName the name that the broker's certificate has to hold; null for its address
     */
    public record Broker(InetSocketAddress address, Login login, SslContext tls, String tlsName) {}

    private final Login login;
    private final Owner owner;
    private Future<?> opening;
    /** Two ways for a broker to ask for a wait, each with its own end. */
    private boolean blocked;

    private final Set<Integer> stopped = new HashSet<>();
    private final Set<Integer> channels = new HashSet<>();
    private boolean open;
    private boolean over;

    private AmqpClientConnection(Login login, int mostBody, Owner owner) {
        super(mostBody, ANY_ROOM);
        this.login = login;
        this.owner = owner;
    }

    /**
     * Connects, on an event loop and from it. Unless {@link #ready} is called within a time, the connection is over.
     *
     * @param mostBody bytes of the largest body that is held; larger ones are skipped
     * @param timeout microseconds until it has to be of use to its owner
     */
    public static AmqpClientConnection dial(EventLoop loop, Broker broker, int mostBody, long timeout, Owner owner) {
        AmqpClientConnection link = new AmqpClientConnection(broker.login(), mostBody, owner);
        InetSocketAddress address = broker.address();
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeout / 1_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        if (broker.tls() != null) {
                            String host = broker.tlsName() != null
                                    ? broker.tlsName()
                                    : address.getAddress().getHostAddress();
                            ch.pipeline().addLast(broker.tls().newHandler(ch.alloc(), host, address.getPort()));
                        }
                        ch.pipeline().addLast(link);
                    }
                })
                .connect(address);
        link.opening = loop.schedule(
                () -> {
                    connected.channel().close();
                    link.notConnected("it did not open in time");
                },
                timeout,
                TimeUnit.MICROSECONDS);
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                // Guards against a socket that could not even be opened: its failure is told on another thread.
                loop.execute(() -> link.notConnected(done.cause().getMessage()));
            }
        });
        return link;
    }

    /** The connection is of use to its owner; the time for it to open does not bind any more. */
    public void ready() {
        opening.cancel(false);
    }

    /** False where the broker wants no publishes on a channel for now. */
    public boolean mayPublish(int channel) {
        return !blocked && !stopped.contains(channel);
    }

    @Override
    void connected() {
        sendRaw(GREETING);
    }

    /** True between {@link Owner#opened} and the end. */
    public boolean isOpen() {
        return open && !over && !isEnding();
    }

    /** Opens a channel; {@code CHANNEL_OPEN_OK} is told to the owner. */
    public void openChannel(int channel) {
        channels.add(channel);
        send(channel, Method.of(MethodType.CHANNEL_OPEN));
    }

    @Override
    boolean mayCome(int channel) {
        return channel == 0 || channels.contains(channel);
    }

    @Override
    void received(Command command) throws AmqpException {
        Method method = command.method();
        switch (method.op()) {
            case CONNECTION_BLOCKED -> {
                blocked = true;
                owner.publishing("the broker blocks publishers: " + method.text("reason"));
            }
            case CONNECTION_UNBLOCKED -> {
                blocked = false;
                owner.publishing("the broker takes publishes again");
            }
            case CHANNEL_FLOW -> flow(command.channel(), method.flag("active"));

            default -> {
                if (command.channel() == 0) {
                    onConnection(command);
                } else {
                    owner.received(command);
                }
            }
        }
    }

    private void onConnection(Command command) throws AmqpException {
        switch (command.op()) {
            case CONNECTION_START -> start(command.method());
            case CONNECTION_TUNE -> tune(command.method());
            case CONNECTION_OPEN_OK -> {
                open = true;
                owner.opened();
            }
            default -> owner.received(command);
        }
    }

    private void flow(int channel, boolean active) {
        if (active) {
            stopped.remove(channel);
        } else {
            stopped.add(channel);
        }
        send(channel, Method.of(MethodType.CHANNEL_FLOW_OK, active));
        owner.publishing(active ? "the broker lets the flow go on" : "the broker stops the flow");
    }

    private void start(Method method) throws AmqpException {
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

    private void tune(Method method) throws AmqpException {
        long max = method.number("frame-max");
        int frames = (int) (max == 0 ? MOST_FRAME : Math.min(MOST_FRAME, max));
        if (frames < Frame.LEAST_MAX) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "frames of " + frames + " bytes are too small");
        }
        long channelMax = method.number("channel-max");
        int most = (int) (channelMax == 0 ? MOST_CHANNELS : Math.min(MOST_CHANNELS, channelMax));
        int theirs = (int) method.number("heartbeat");
        int heartbeat = login.heartbeat() == 0 || theirs == 0
                ? Math.max(login.heartbeat(), theirs)
                : Math.min(login.heartbeat(), theirs);
        send(0, Method.of(MethodType.CONNECTION_TUNE_OK, most, (long) frames, heartbeat));
        agreed(frames, heartbeat);
        send(0, Method.of(MethodType.CONNECTION_OPEN, login.virtualHost()));
    }

    @Override
    void over(String reason) {
        if (!over) {
            over = true;
            if (opening != null) {
                opening.cancel(false);
            }
            owner.closed(reason);
        }
    }

    /** The connection never came up. */
    private void notConnected(String reason) {
        over(reason);
    }
}
