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

/** One connection, of either role: frames in and out, heartbeats and the end. Everything happens on its event loop. */
public abstract class AmqpConnection extends ChannelInboundHandlerAdapter {
    /** What a link may hold of bodies that are not whole, where nobody counts. */
    public static final CommandAssembler.Room ANY_ROOM = new CommandAssembler.Room() {
        @Override
        public boolean take(int bytes) {
            return true;
        }

        @Override
        public void give(int bytes) {}
    };

    private static final long PATIENCE_MS = 2_000;
    private static final int MOST_TEXT = 200;
    private static final int SILENT_HALVES = 4;

    private final int mostBody;
    private final CommandAssembler.Room room;
    private final Map<Integer, CommandAssembler> assemblers = new HashMap<>();
    private ChannelHandlerContext context;
    /** What has come of a frame that is not whole; null where nothing has. */
    private ByteBuf half;

    private int frameMax = Frame.LEAST_MAX;
    private Future<?> beat;
    private boolean heard;
    private boolean said;
    private int silentBeats;
    private boolean ending;
    private boolean reads = true;
    private boolean flushes;
    private String why = "the connection was closed";

    /**
     * A link.
     *
     * @param mostBody bytes of the largest body that is held
     */
    AmqpConnection(int mostBody, CommandAssembler.Room room) {
        this.mostBody = mostBody;
        this.room = room;
    }

    /** A method has come, with its content. */
    abstract void received(Command command) throws AmqpException;

    /** The connection is up. */
    abstract void connected();

    /** The connection is over; nothing comes of it any more. */
    abstract void over(String reason);

    /** Takes bytes ahead of the first frame; true where frames follow. */
    boolean opened(ByteBuf in) throws AmqpException {
        return true;
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public final void channelActive(ChannelHandlerContext ctx) {
        connected();
    }

    /**
     * Puts what comes together itself: the decoder that Netty has for that asks for more bytes on its own account, also
     * where reading is switched off.
     */
    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object bytes) {
        half = half == null
                ? (ByteBuf) bytes
                : ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), half, (ByteBuf) bytes);
        decode(half);
        if (half.isReadable()) {
            half.discardSomeReadBytes();
        } else {
            dropHalf();
        }
    }

    private void dropHalf() {
        if (half != null) {
            half.release();
            half = null;
        }
    }

    private void decode(ByteBuf in) {
        try {
            if (!opened(in)) {
                return;
            }
            Frame frame = Frame.next(in, frameMax);
            while (frame != null) {
                heard = true;
                try {
                    take(frame);
                } finally {
                    frame.payload().release();
                }
                // Guards against frames that still come behind the end.
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

    private void take(Frame frame) throws AmqpException {
        if (frame.type() == Frame.Type.HEARTBEAT) {
            if (frame.channel() != 0) {
                throw new AmqpException(AmqpException.FRAME_ERROR, "a heartbeat on channel " + frame.channel());
            }
            return;
        }
        if (!mayCome(frame.channel())) {
            throw new AmqpException(AmqpException.CHANNEL_ERROR, "channel " + frame.channel() + " is not open");
        }
        CommandAssembler assembler =
                assemblers.computeIfAbsent(frame.channel(), c -> new CommandAssembler(c, mostBody, room));
        Command command = assembler.add(frame);
        if (command == null) {
            return;
        }
        if (command.op() == MethodType.CONNECTION_CLOSE) {
            why = "the other side closed it: " + command.method().number("reply-code") + " "
                    + command.method().text("reply-text");
            send(0, Method.of(MethodType.CONNECTION_CLOSE_OK)).addListener(ChannelFutureListener.CLOSE);
        } else if (command.op() == MethodType.CONNECTION_CLOSE_OK) {
            context.close();
        } else if (!ending) {
            received(command);
        }
    }

    /** True where frames may come on a channel; 0 is the connection's own. */
    abstract boolean mayCome(int channel);

    /** A channel is over: what was half read on it is dropped. */
    void forget(int channel) {
        CommandAssembler assembler = assemblers.remove(channel);
        if (assembler != null) {
            assembler.close();
        }
    }

    /** What was agreed on; a heartbeat of 0 s means none. */
    void agreed(int max, int heartbeatSeconds) {
        frameMax = max;
        if (heartbeatSeconds > 0) {
            long half = TimeUnit.SECONDS.toMillis(heartbeatSeconds) / 2;
            beat = context.executor().scheduleAtFixedRate(this::beat, half, half, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends a heartbeat where nothing was sent for half of its interval, and gives up a side silent for two. */
    private void beat() {
        // Guards against giving up one whose beats lie unread, as this side does not read.
        silentBeats = heard || !reads ? 0 : silentBeats + 1;
        heard = false;
        if (silentBeats >= SILENT_HALVES) {
            close("no heartbeat came");
            return;
        }
        if (!said) {
            ByteBuf out = context.alloc().buffer(Frame.OVERHEAD);
            Frame.writeHeartbeat(out);
            context.writeAndFlush(out);
        }
        said = false;
    }

    /** Bytes of the largest frame that was agreed on. */
    public final int frameMax() {
        return frameMax;
    }

    /** Sends a method without content. */
    public final ChannelFuture send(int channel, Method method) {
        ByteBuf out = context.alloc().buffer();
        Frame.write(out, channel, method);
        return write(out);
    }

    /** Sends a method with its content; the future succeeds once every byte of it has left this process. */
    public final ChannelFuture send(int channel, Method method, Properties properties, byte[] body) {
        ByteBuf out = context.alloc().buffer(body.length + Frame.LEAST_MAX / 4);
        Frame.write(out, channel, method, properties, body, frameMax);
        return write(out);
    }

    /** What is sent in one pass of the loop leaves together. */
    private ChannelFuture write(ByteBuf out) {
        said = true;
        ChannelFuture written = context.write(out);
        if (!flushes) {
            flushes = true;
            context.executor().execute(() -> {
                flushes = false;
                context.flush();
            });
        }
        return written;
    }

    /** Sends the protocol's own first bytes. */
    final ChannelFuture sendRaw(byte[] bytes) {
        return context.writeAndFlush(context.alloc().buffer(bytes.length).writeBytes(bytes));
    }

    /** False where the other side does not read what was sent so far. */
    public final boolean isWritable() {
        return context != null
                && context.channel().isActive()
                && context.channel().isWritable();
    }

    /** Reads on, or no more, so that the other side's sends wait. */
    public final void read(boolean on) {
        reads = on;
        context.channel().config().setAutoRead(on);
    }

    /** Ends the connection for a fault of the other side, in words; by the method's numbers where one is at fault. */
    public final void fail(AmqpException fault, MethodType op) {
        end(fault.code(), fault.getMessage(), op == null ? 0 : op.classId(), op == null ? 0 : op.methodId());
    }

    /** Ends the connection in an orderly way: the other side is told, and has a little time to say that it knows. */
    public final void end(int code, String text) {
        end(code, text, 0, 0);
    }

    private void end(int code, String text, int classId, int methodId) {
        if (ending || context == null || !context.channel().isActive()) {
            return;
        }
        ending = true;
        why = text;
        send(
                0,
                Method.of(
                        MethodType.CONNECTION_CLOSE,
                        code,
                        text.length() > MOST_TEXT ? text.substring(0, MOST_TEXT) : text,
                        classId,
                        methodId));
        context.executor().schedule((Runnable) context::close, PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection at once. */
    public final void close(String reason) {
        if (context != null && context.channel().isOpen()) {
            why = reason;
            context.close();
        }
    }

    /** True where the connection is being ended from this side. */
    public final boolean isEnding() {
        return ending;
    }

    @Override
    public final void handlerRemoved(ChannelHandlerContext ctx) {
        dropHalf();
        if (beat != null) {
            beat.cancel(false);
        }
        assemblers.values().forEach(CommandAssembler::close);
        assemblers.clear();
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        if (beat != null) {
            beat.cancel(false);
        }
        over(why);
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        why = cause.toString();
        ctx.close();
    }
}
