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

/**
 * A connection that a client has opened: performs the handshake, authenticates the client and tracks its open channels.
 */
public final class AmqpServerConnection extends AmqpConnection {
    /**
     * The limits that this server offers in {@code connection.tune}.
     *
     * @param product the product name in the server properties
     * @param channelMax the highest channel number
     * @param frameMax size of the largest frame in bytes
     * @param heartbeatSeconds the interval in seconds; 0 for none
     */
    public record Limits(String product, int channelMax, int frameMax, int heartbeatSeconds) {}

    /** Receives the events of a connection, on its event loop. */
    public interface Listener {
        /** Returns true if the credentials are valid. */
        boolean isAuthorized(String user, String password);

        /** The handshake is complete. */
        void onOpened(String virtualHost);

        /** The client has opened a channel. */
        void onChannelOpened(int channel);

        /** A channel is closed, by either side or together with the connection. */
        void onChannelClosed(int channel);

        /**
         * A method was received on an open channel.
         *
         * @throws AmqpException to close the channel or, depending on the reply code, the connection
         */
        void onCommand(Command command) throws AmqpException;

        /** The connection is closed; called exactly once. */
        void onClosed(String reason);
    }

    /** Steps of the handshake, in order. */
    private enum State {
        AWAITING_PROTOCOL_HEADER,
        AWAITING_START_OK,
        AWAITING_TUNE_OK,
        AWAITING_OPEN,
        OPEN
    }

    /** Parts of a PLAIN response, separated by NUL: authorization identity, user, password. */
    private static final int PLAIN_RESPONSE_PARTS = 3;

    private final Limits offer;
    private final Listener owner;
    private final Set<Integer> channels = new HashSet<>();
    /** Channels that this side has closed and the client has not acknowledged by {@code channel.close-ok}. */
    private final Set<Integer> closingChannels = new HashSet<>();

    private State state = State.AWAITING_PROTOCOL_HEADER;
    private boolean closeReported;
    private int channelMax;

    /**
     * Creates the handler for the pipeline of an accepted socket.
     *
     * @param maxBodyBytes size of the largest message body that is buffered; larger ones are skipped
     * @param bodyBudget limits the bytes of incomplete bodies over all channels
     */
    public AmqpServerConnection(
            Limits offer, int maxBodyBytes, CommandAssembler.BodyBudget bodyBudget, Listener owner) {
        super(maxBodyBytes, bodyBudget);
        this.offer = offer;
        this.owner = owner;
    }

    @Override
    void onConnected() {}

    @Override
    boolean readProtocolHeader(ByteBuf in) {
        if (state != State.AWAITING_PROTOCOL_HEADER) {
            return true;
        }
        int available = Math.min(in.readableBytes(), AmqpClientConnection.PROTOCOL_HEADER.length);
        byte[] bytes = new byte[available];
        in.getBytes(in.readerIndex(), bytes);
        if (!Arrays.equals(bytes, Arrays.copyOf(AmqpClientConnection.PROTOCOL_HEADER, available))) {
            // Section 4.2.2: the server answers with the protocol header that it supports, and closes the socket.
            in.skipBytes(in.readableBytes());
            sendRaw(AmqpClientConnection.PROTOCOL_HEADER).addListener(sent -> close("it does not greet in AMQP 0-9-1"));
            return false;
        }
        if (available < AmqpClientConnection.PROTOCOL_HEADER.length) {
            return false;
        }
        in.skipBytes(available);
        state = State.AWAITING_START_OK;
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
    boolean acceptsChannel(int channel) {
        // Any channel number within the limit, as channel.open is a frame on the channel that it opens.
        return channel == 0 || state == State.OPEN && channel <= channelMax;
    }

    @Override
    void onCommand(Command command) throws AmqpException {
        if (state != State.OPEN) {
            onHandshake(command.method());
        } else if (command.channel() == 0) {
            throw new AmqpException(AmqpException.COMMAND_INVALID, command.type() + " on channel 0");
        } else {
            onChannel(command);
        }
    }

    private void onHandshake(Method method) throws AmqpException {
        if (state == State.AWAITING_START_OK && method.type() == MethodType.CONNECTION_START_OK) {
            String[] plain = method.text("response").split("\0", -1);
            if (!method.text("mechanism").equals("PLAIN")
                    || plain.length != PLAIN_RESPONSE_PARTS
                    || !owner.isAuthorized(plain[1], plain[2])) {
                throw new AmqpException(AmqpException.ACCESS_REFUSED, "ACCESS_REFUSED - login was refused");
            }
            state = State.AWAITING_TUNE_OK;
            send(
                    0,
                    Method.of(
                            MethodType.CONNECTION_TUNE,
                            offer.channelMax(),
                            (long) offer.frameMax(),
                            offer.heartbeatSeconds()));
        } else if (state == State.AWAITING_TUNE_OK && method.type() == MethodType.CONNECTION_TUNE_OK) {
            onTuneOk(method);
            state = State.AWAITING_OPEN;
        } else if (state == State.AWAITING_OPEN && method.type() == MethodType.CONNECTION_OPEN) {
            state = State.OPEN;
            owner.onOpened(method.text("virtual-host"));
            send(0, Method.of(MethodType.CONNECTION_OPEN_OK));
        } else {
            throw new AmqpException(AmqpException.COMMAND_INVALID, method.type() + " while the connection opens");
        }
    }

    private void onTuneOk(Method method) throws AmqpException {
        long frameMax = method.number("frame-max") == 0 ? offer.frameMax() : method.number("frame-max");
        long requestedChannelMax =
                method.number("channel-max") == 0 ? offer.channelMax() : method.number("channel-max");
        if (frameMax > offer.frameMax() || frameMax < Frame.MIN_FRAME_MAX || requestedChannelMax > offer.channelMax()) {
            throw new AmqpException(
                    AmqpException.NOT_ALLOWED,
                    "more was agreed on than was offered: frames of " + frameMax + " bytes, channels to "
                            + requestedChannelMax);
        }
        channelMax = (int) requestedChannelMax;
        applyTuning((int) frameMax, (int) method.number("heartbeat"));
    }

    private void onChannel(Command command) throws AmqpException {
        int channel = command.channel();
        if (closingChannels.contains(channel)) {
            onClosingChannel(command);
        } else if (command.type() == MethodType.CHANNEL_OPEN) {
            openChannel(channel);
        } else if (!channels.contains(channel)) {
            throw new AmqpException(AmqpException.CHANNEL_ERROR, "channel " + channel + " is not open");
        } else if (command.type() == MethodType.CHANNEL_CLOSE) {
            onChannelClose(channel);
        } else {
            deliver(command);
        }
    }

    /** Ignores commands that the client sent before it received {@code channel.close}. */
    private void onClosingChannel(Command command) {
        int channel = command.channel();
        if (command.type() == MethodType.CHANNEL_CLOSE_OK || command.type() == MethodType.CHANNEL_CLOSE) {
            closingChannels.remove(channel);
            discardChannel(channel);
        }
        if (command.type() == MethodType.CHANNEL_CLOSE) {
            send(channel, Method.of(MethodType.CHANNEL_CLOSE_OK));
        }
    }

    private void openChannel(int channel) throws AmqpException {
        if (!channels.add(channel)) {
            throw new AmqpException(AmqpException.CHANNEL_ERROR, "channel " + channel + " is open already");
        }
        owner.onChannelOpened(channel);
        send(channel, Method.of(MethodType.CHANNEL_OPEN_OK));
    }

    private void onChannelClose(int channel) {
        channels.remove(channel);
        discardChannel(channel);
        owner.onChannelClosed(channel);
        send(channel, Method.of(MethodType.CHANNEL_CLOSE_OK));
    }

    private void deliver(Command command) {
        try {
            owner.onCommand(command);
        } catch (AmqpException e) {
            if (e.isChannelError()) {
                closeChannel(command.channel(), e, command.type());
            } else {
                fail(e, command.type());
            }
        }
    }

    /**
     * Closes a channel because of an error. Commands on it are ignored until the client acknowledges the close.
     *
     * @param op the method that caused the error
     */
    public void closeChannel(int channel, AmqpException fault, MethodType op) {
        if (channels.remove(channel)) {
            closingChannels.add(channel);
            send(
                    channel,
                    Method.of(MethodType.CHANNEL_CLOSE, fault.code(), fault.getMessage(), op.classId(), op.methodId()));
            owner.onChannelClosed(channel);
        }
    }

    /** Returns true if the channel is open. */
    public boolean isOpen(int channel) {
        return channels.contains(channel);
    }

    @Override
    void onClosed(String reason) {
        if (!closeReported) {
            closeReported = true;
            Set.copyOf(channels).forEach(channel -> {
                channels.remove(channel);
                owner.onChannelClosed(channel);
            });
            owner.onClosed(reason);
        }
    }
}
