package loftflow.amqp.link;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.CommandAssembler;
import loftflow.amqp.codec.Frame;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;

/** A connection that a client has opened to this side: lets it in, and keeps its channels. */
public final class AmqpServerConnection extends AmqpConnection {
    /**
     * What is offered.
     *
     * @param product the name that clients are told
     * @param channelMax the highest channel number
     * @param frameMax bytes of the largest frame
     * @param heartbeat seconds; 0 for none
     */
    public record Offer(String product, int channelMax, int frameMax, int heartbeat) {}

    /** What a link is for. */
    public interface Owner {
        /** True where a user may come in. */
        boolean admits(String user, String password);

        /** A client is let in. */
        void opened(String virtualHost);

        /** A channel is open. */
        void channelOpened(int channel);

        /** A channel is over, of whichever side's will, also by the end of the connection. */
        void channelClosed(int channel);

        /**
         * A method has come on an open channel.
         *
         * @throws AmqpException to close the channel or, by its code, the connection
         */
        void received(Command command) throws AmqpException;

        /** The connection is over; called once. */
        void closed(String reason);
    }

    private enum State {
        GREETING,
        START_OK,
        TUNE_OK,
        OPEN,
        SERVING
    }

    private static final int PLAIN_PARTS = 3;

    private final Offer offer;
    private final Owner owner;
    private final Set<Integer> channels = new HashSet<>();
    /** Channels that this side has closed, whose client does not know yet. */
    private final Set<Integer> closing = new HashSet<>();

    private State state = State.GREETING;
    private boolean over;
    private int channelMax;

    /** A link for a channel's pipeline. */
    public AmqpServerConnection(Offer offer, int mostBody, CommandAssembler.Room room, Owner owner) {
        super(mostBody, room);
        this.offer = offer;
        this.owner = owner;
    }

    @Override
    void connected() {}

    @Override
    boolean opened(ByteBuf in) {
        if (state != State.GREETING) {
            return true;
        }
        int there = Math.min(in.readableBytes(), AmqpClientConnection.GREETING.length);
        byte[] bytes = new byte[there];
        in.getBytes(in.readerIndex(), bytes);
        if (!Arrays.equals(bytes, Arrays.copyOf(AmqpClientConnection.GREETING, there))) {
            // As the specification wants it (section 4.2.2): the greeting that would do, and the end.
            in.skipBytes(in.readableBytes());
            sendRaw(AmqpClientConnection.GREETING).addListener(sent -> close("it does not greet in AMQP 0-9-1"));
            return false;
        }
        if (there < AmqpClientConnection.GREETING.length) {
            return false;
        }
        in.skipBytes(there);
        state = State.START_OK;
        send(
                0,
                Method.of(
                        MethodType.CONNECTION_START,
                        0,
                        9,
                        Map.<String, Object>of(
                                "product",
                                offer.product(),
                                "capabilities",
                                Map.of("publisher_confirms", true, "basic.nack", true, "connection.blocked", true)),
                        "PLAIN",
                        "en_US"));
        return true;
    }

    @Override
    boolean mayCome(int channel) {
        // A channel is opened by a frame on it.
        return channel == 0 || state == State.SERVING && channel <= channelMax;
    }

    @Override
    void received(Command command) throws AmqpException {
        if (state != State.SERVING) {
            open(command.method());
        } else if (command.channel() == 0) {
            throw new AmqpException(AmqpException.COMMAND_INVALID, command.op() + " on channel 0");
        } else {
            onChannel(command);
        }
    }

    private void open(Method method) throws AmqpException {
        if (state == State.START_OK && method.op() == MethodType.CONNECTION_START_OK) {
            String[] plain = method.text("response").split("\0", -1);
            if (!method.text("mechanism").equals("PLAIN")
                    || plain.length != PLAIN_PARTS
                    || !owner.admits(plain[1], plain[2])) {
                throw new AmqpException(AmqpException.ACCESS_REFUSED, "ACCESS_REFUSED - login was refused");
            }
            state = State.TUNE_OK;
            send(
                    0,
                    Method.of(
                            MethodType.CONNECTION_TUNE,
                            offer.channelMax(),
                            (long) offer.frameMax(),
                            offer.heartbeat()));
        } else if (state == State.TUNE_OK && method.op() == MethodType.CONNECTION_TUNE_OK) {
            tune(method);
            state = State.OPEN;
        } else if (state == State.OPEN && method.op() == MethodType.CONNECTION_OPEN) {
            state = State.SERVING;
            owner.opened(method.text("virtual-host"));
            send(0, Method.of(MethodType.CONNECTION_OPEN_OK));
        } else {
            throw new AmqpException(AmqpException.COMMAND_INVALID, method.op() + " while the connection opens");
        }
    }

    private void tune(Method method) throws AmqpException {
        long frames = method.number("frame-max") == 0 ? offer.frameMax() : method.number("frame-max");
        long most = method.number("channel-max") == 0 ? offer.channelMax() : method.number("channel-max");
        if (frames > offer.frameMax() || frames < Frame.LEAST_MAX || most > offer.channelMax()) {
            throw new AmqpException(
                    AmqpException.NOT_ALLOWED,
                    "more was agreed on than was offered: frames of " + frames + " bytes, channels to " + most);
        }
        channelMax = (int) most;
        agreed((int) frames, (int) method.number("heartbeat"));
    }

    private void onChannel(Command command) throws AmqpException {
        int channel = command.channel();
        if (closing.contains(channel)) {
            // Guards against what was on its way when this side closed the channel.
            if (command.op() == MethodType.CHANNEL_CLOSE_OK || command.op() == MethodType.CHANNEL_CLOSE) {
                closing.remove(channel);
                forget(channel);
            }
            if (command.op() == MethodType.CHANNEL_CLOSE) {
                send(channel, Method.of(MethodType.CHANNEL_CLOSE_OK));
            }
            return;
        }
        if (command.op() == MethodType.CHANNEL_OPEN) {
            if (!channels.add(channel)) {
                throw new AmqpException(AmqpException.CHANNEL_ERROR, "channel " + channel + " is open already");
            }
            owner.channelOpened(channel);
            send(channel, Method.of(MethodType.CHANNEL_OPEN_OK));
            return;
        }
        if (!channels.contains(channel)) {
            throw new AmqpException(AmqpException.CHANNEL_ERROR, "channel " + channel + " is not open");
        }
        if (command.op() == MethodType.CHANNEL_CLOSE) {
            channels.remove(channel);
            forget(channel);
            owner.channelClosed(channel);
            send(channel, Method.of(MethodType.CHANNEL_CLOSE_OK));
            return;
        }
        try {
            owner.received(command);
        } catch (AmqpException e) {
            if (!e.isOfChannel()) {
                fail(e, command.op());
                return;
            }
            closeChannel(channel, e, command.op());
        }
    }

    /** Closes a channel for a fault; what still comes on it is dropped until its client knows. */
    public void closeChannel(int channel, AmqpException fault, MethodType op) {
        if (channels.remove(channel)) {
            closing.add(channel);
            send(
                    channel,
                    Method.of(MethodType.CHANNEL_CLOSE, fault.code(), fault.getMessage(), op.classId(), op.methodId()));
            owner.channelClosed(channel);
        }
    }

    /** True where a channel is open. */
    public boolean isOpen(int channel) {
        return channels.contains(channel);
    }

    @Override
    void over(String reason) {
        if (!over) {
            over = true;
            Set.copyOf(channels).forEach(channel -> {
                channels.remove(channel);
                owner.channelClosed(channel);
            });
            owner.closed(reason);
        }
    }
}
