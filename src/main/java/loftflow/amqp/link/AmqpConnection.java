package loftflow.amqp.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loftflow.amqp.codec.AmqpException;
import loftflow.amqp.codec.Command;
import loftflow.amqp.codec.CommandAssembler;
import loftflow.amqp.codec.Frame;
import loftflow.amqp.codec.Method;
import loftflow.amqp.codec.MethodType;
import loftflow.amqp.codec.Properties;

/**
 * One AMQP connection of either role: reads and writes frames, sends and checks heartbeats, and closes. Not
 * thread-safe: every method is called on the event loop of its Netty channel.
 */
public abstract class AmqpConnection extends ChannelInboundHandlerAdapter {
    /** A budget that never refuses bytes of incomplete message bodies. */
    public static final CommandAssembler.BodyBudget UNLIMITED_BODY_BUDGET = new CommandAssembler.BodyBudget() {
        @Override
        public boolean tryReserve(int bytes) {
            return true;
        }

        @Override
        public void release(int bytes) {}
    };

    /** The reply code of a regular close. */
    public static final int REPLY_SUCCESS = 200;

    /** Time that the peer has to answer {@code connection.close} before the socket is closed. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;
    /** Characters of a {@code reply-text}; longer texts are truncated to fit a short string of 255 bytes. */
    private static final int MAX_REPLY_TEXT_LENGTH = 200;
    /** Halves of a heartbeat interval without a received frame after which the connection is closed. */
    private static final int MAX_IDLE_HALF_INTERVALS = 4;

    private final int maxBodyBytes;
    private final CommandAssembler.BodyBudget bodyBudget;
    private final Map<Integer, CommandAssembler> assemblers = new HashMap<>();
    private ChannelHandlerContext context;
    /** Received bytes that are not decoded yet; null if there are none. */
    private ByteBuf partialFrame;

    private int frameMax = Frame.MIN_FRAME_MAX;
    private Future<?> heartbeatTimer;
    private boolean receivedSinceTick;
    private boolean sentSinceTick;
    private int idleHalfIntervals;
    private boolean closing;
    private boolean autoRead = true;
    private boolean flushScheduled;
    private String closeReason = "the connection was closed";

    /**
     * Creates the handler of one connection.
     *
     * @param maxBodyBytes size of the largest message body that is buffered; larger ones are skipped
     * @param bodyBudget limits the bytes of incomplete bodies over all channels
     */
    AmqpConnection(int maxBodyBytes, CommandAssembler.BodyBudget bodyBudget) {
        this.maxBodyBytes = maxBodyBytes;
        this.bodyBudget = bodyBudget;
    }

    /** Handles a method that was received completely, with its content if it carries one. */
    abstract void onCommand(Command command) throws AmqpException;

    /** Called once the socket is connected. */
    abstract void onConnected();

    /** Called when the socket is closed; no command is received afterwards. */
    abstract void onClosed(String reason);

    /** Reads the protocol header ahead of the first frame; returns true once frames may follow. */
    boolean readProtocolHeader(ByteBuf in) throws AmqpException {
        return true;
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public final void channelActive(ChannelHandlerContext ctx) {
        onConnected();
    }

    /**
     * Accumulates the received bytes and decodes complete frames. Netty's {@code ByteToMessageDecoder} is not used, as
     * it requests further reads by itself, also while reading is paused.
     */
    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object bytes) {
        partialFrame = partialFrame == null
                ? (ByteBuf) bytes
                : ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), partialFrame, (ByteBuf) bytes);
        decode(partialFrame);
        if (partialFrame.isReadable()) {
            partialFrame.discardSomeReadBytes();
        } else {
            releasePartialFrame();
        }
    }

    private void releasePartialFrame() {
        if (partialFrame != null) {
            partialFrame.release();
            partialFrame = null;
        }
    }

    private void decode(ByteBuf in) {
        try {
            if (!readProtocolHeader(in)) {
                return;
            }
            Frame frame = Frame.next(in, frameMax);
            while (frame != null) {
                receivedSinceTick = true;
                try {
                    onFrame(frame);
                } finally {
                    frame.payload().release();
                }
                // Frames that follow the close of the socket are discarded.
                if (!context.channel().isOpen()) {
                    in.skipBytes(in.readableBytes());
                    return;
                }
                frame = Frame.next(in, frameMax);
            }
        } catch (AmqpException e) {
            in.skipBytes(in.readableBytes());
            fail(e, null);
        }
    }

    private void onFrame(Frame frame) throws AmqpException {
        if (frame.type() == Frame.Type.HEARTBEAT) {
            if (frame.channel() != 0) {
                throw new AmqpException(AmqpException.FRAME_ERROR, "a heartbeat on channel " + frame.channel());
            }
            return;
        }
        if (!acceptsChannel(frame.channel())) {
            throw new AmqpException(AmqpException.CHANNEL_ERROR, "channel " + frame.channel() + " is not open");
        }
        CommandAssembler assembler =
                assemblers.computeIfAbsent(frame.channel(), c -> new CommandAssembler(c, maxBodyBytes, bodyBudget));
        Command command = assembler.add(frame);
        if (command == null) {
            return;
        }
        if (command.type() == MethodType.CONNECTION_CLOSE) {
            closeReason = "the other side closed it: " + command.method().number("reply-code") + " "
                    + command.method().text("reply-text");
            send(0, Method.of(MethodType.CONNECTION_CLOSE_OK)).addListener(ChannelFutureListener.CLOSE);
        } else if (command.type() == MethodType.CONNECTION_CLOSE_OK) {
            context.close();
        } else if (!closing) {
            onCommand(command);
        }
    }

    /** Returns true if the peer may send frames on a channel; channel 0 is that of the connection itself. */
    abstract boolean acceptsChannel(int channel);

    /** Discards the partially received command of a closed channel. */
    void discardChannel(int channel) {
        CommandAssembler assembler = assemblers.remove(channel);
        if (assembler != null) {
            assembler.close();
        }
    }

    /**
     * Applies the negotiated limits and starts the heartbeat.
     *
     * @param newFrameMax size of the largest frame in bytes
     * @param heartbeatSeconds the heartbeat interval; 0 disables heartbeats
     */
    void applyTuning(int newFrameMax, int heartbeatSeconds) {
        frameMax = newFrameMax;
        if (heartbeatSeconds > 0) {
            long halfIntervalMillis = TimeUnit.SECONDS.toMillis(heartbeatSeconds) / 2;
            heartbeatTimer = context.executor()
                    .scheduleAtFixedRate(
                            this::onHeartbeatTick, halfIntervalMillis, halfIntervalMillis, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Runs each half heartbeat interval: sends a heartbeat if nothing was sent since the last tick, and closes the
     * connection if nothing was received for two intervals.
     */
    private void onHeartbeatTick() {
        // While reading is paused, the heartbeats of the peer are not read, so its idle time is not counted.
        idleHalfIntervals = receivedSinceTick || !autoRead ? 0 : idleHalfIntervals + 1;
        receivedSinceTick = false;
        if (idleHalfIntervals >= MAX_IDLE_HALF_INTERVALS) {
            close("no heartbeat came");
            return;
        }
        if (!sentSinceTick) {
            ByteBuf out = context.alloc().buffer(Frame.OVERHEAD_BYTES);
            Frame.writeHeartbeat(out);
            context.writeAndFlush(out);
        }
        sentSinceTick = false;
    }

    /** Sends a method without content; the future succeeds once its bytes are written to the socket. */
    public final ChannelFuture send(int channel, Method method) {
        ByteBuf out = context.alloc().buffer();
        Frame.write(out, channel, method);
        return write(out);
    }

    /** Sends a method with its content; the future succeeds once all its bytes are written to the socket. */
    public final ChannelFuture send(int channel, Method method, Properties properties, byte[] body) {
        ByteBuf out = context.alloc().buffer(body.length + Frame.MIN_FRAME_MAX / 4);
        Frame.write(out, channel, method, properties, body, frameMax);
        return write(out);
    }

    /** Writes without a flush; one flush is scheduled for all that is written in the same pass of the event loop. */
    private ChannelFuture write(ByteBuf out) {
        sentSinceTick = true;
        ChannelFuture written = context.write(out);
        if (!flushScheduled) {
            flushScheduled = true;
            context.executor().execute(() -> {
                flushScheduled = false;
                context.flush();
            });
        }
        return written;
    }

    /** Sends bytes outside of a frame, such as the protocol header. */
    final ChannelFuture sendRaw(byte[] bytes) {
        return context.writeAndFlush(context.alloc().buffer(bytes.length).writeBytes(bytes));
    }

    /** Returns true if the connection is up and its write buffer is below the high-water mark. */
    public final boolean isWritable() {
        return context != null
                && context.channel().isActive()
                && context.channel().isWritable();
    }

    /** Resumes or pauses reading from the socket; while it is paused, TCP flow control holds back the peer. */
    public final void setAutoRead(boolean enabled) {
        autoRead = enabled;
        context.channel().config().setAutoRead(enabled);
    }

    /**
     * Closes the connection gracefully because of a protocol error of the peer.
     *
     * @param op the method that caused the error; null if no single method did
     */
    public final void fail(AmqpException fault, MethodType op) {
        closeGracefully(
                fault.code(), fault.getMessage(), op == null ? 0 : op.classId(), op == null ? 0 : op.methodId());
    }

    /** Closes the connection gracefully: sends {@code connection.close} and waits for the answer for a limited time. */
    public final void closeGracefully(int code, String text) {
        closeGracefully(code, text, 0, 0);
    }

    private void closeGracefully(int code, String text, int classId, int methodId) {
        if (closing || context == null || !context.channel().isActive()) {
            return;
        }
        closing = true;
        closeReason = text;
        send(
                0,
                Method.of(
                        MethodType.CONNECTION_CLOSE,
                        code,
                        text.length() > MAX_REPLY_TEXT_LENGTH ? text.substring(0, MAX_REPLY_TEXT_LENGTH) : text,
                        classId,
                        methodId));
        context.executor().schedule((Runnable) context::close, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes the socket at once, without {@code connection.close}. */
    public final void close(String reason) {
        if (context != null && context.channel().isOpen()) {
            closeReason = reason;
            context.close();
        }
    }

    /** Returns true if this side has sent {@code connection.close}. */
    public final boolean isEnding() {
        return closing;
    }

    private void stopHeartbeat() {
        if (heartbeatTimer != null) {
            heartbeatTimer.cancel(false);
        }
    }

    @Override
    public final void handlerRemoved(ChannelHandlerContext ctx) {
        releasePartialFrame();
        stopHeartbeat();
        assemblers.values().forEach(CommandAssembler::close);
        assemblers.clear();
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        stopHeartbeat();
        onClosed(closeReason);
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closeReason = cause.toString();
        ctx.close();
    }
}
