package pipitstage.amqp.link;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import pipitstage.amqp.codec.AmqpException;
import pipitstage.amqp.codec.Command;
import pipitstage.amqp.codec.Frame;
import pipitstage.amqp.codec.Method;
import pipitstage.amqp.codec.Op;

/** A connection to a broker (AMQP 0-9-1, section 2.2.4), which logs in by PLAIN and opens channels that are asked for. */
public final class ClientLink extends Link {
    /** The first bytes of every connection. */
    static final byte[] GREETING = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};
    private static final int MOST_CHANNELS = 16;
    private static final int MOST_FRAME = 128 << 10;

    /**
     * How to log in.
     *
     * @param heartbeat seconds; 0 for none, and the broker may ask for less
     */
    public record Login(String user, String password, String virtualHost, int heartbeat) { }

    /** What a link is for. */
    public interface Owner {
        /** The broker has let this side in; channels may be opened. */
        void opened();

        /** A method has come: an answer, a delivery, a confirm, or what the broker has to say of its own accord. */
        void received(Command command) throws AmqpException;

        /** The connection is over, whether it was ever open or not; called once. */
        void closed(String reason);
    }

    private final Login login;
    private final Owner owner;
    private final Set<Integer> channels = new HashSet<>();
    private boolean open;
    private boolean over;

    /** A link for a channel's pipeline; bodies larger than {@code mostBody} bytes are skipped. */
    public ClientLink(Login login, int mostBody, Owner owner) {
        super(mostBody, ANY_ROOM);
        this.login = login;
        this.owner = owner;
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
        send(channel, Method.of(Op.CHANNEL_OPEN));
    }

    /** A channel is over, as the broker or the owner has closed it. */
    public void forgetChannel(int channel) {
        channels.remove(channel);
        forget(channel);
    }

    @Override
    boolean mayCome(int channel) {
        return channel == 0 || channels.contains(channel);
    }

    @Override
    void received(Command command) throws AmqpException {
        Method method = command.method();
        if (command.channel() != 0) {
            owner.received(command);
            return;
        }
        switch (method.op()) {
            case CONNECTION_START -> start(method);
            case CONNECTION_TUNE -> tune(method);
            case CONNECTION_OPEN_OK -> {
                open = true;
                owner.opened();
            }
            default -> owner.received(command);
        }
    }

    private void start(Method method) throws AmqpException {
        if (!(" " + method.text("mechanisms") + " ").contains(" PLAIN ")) {
            throw new AmqpException(AmqpException.NOT_ALLOWED, "the broker does not take PLAIN");
        }
        Map<String, Object> capabilities = Map.of("publisher_confirms", true, "basic.nack", true,
                "connection.blocked", true, "consumer_cancel_notify", true, "authentication_failure_close", true);
        send(0, Method.of(Op.CONNECTION_START_OK, Map.<String, Object>of("product", "loftflow", "capabilities",
                capabilities), "PLAIN", "\0" + login.user() + "\0" + login.password(), "en_US"));
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
        int heartbeat = login.heartbeat() == 0 || theirs == 0 ? Math.max(login.heartbeat(), theirs)
                : Math.min(login.heartbeat(), theirs);
        send(0, Method.of(Op.CONNECTION_TUNE_OK, most, (long) frames, heartbeat));
        agreed(frames, heartbeat);
        send(0, Method.of(Op.CONNECTION_OPEN, login.virtualHost()));
    }

    @Override
    void over(String reason) {
        if (!over) {
            over = true;
            owner.closed(reason);
        }
    }

    /** The connection never came up. */
    public void notConnected(String reason) {
        over(reason);
    }
}
