package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Puts the frames of one channel together (AMQP 0-9-1, section 4.2.6): a method, its header, and its body in pieces.
 * Content that may not be held is read past, so that the connection goes on behind it.
 */
public final class CommandAssembler {
    /** What may be held of bodies that are not whole yet, all channels together. */
    public interface Room {
        /** Takes bytes; false where there are not so many left. */
        boolean take(int bytes);

        /** Gives bytes back. */
        void give(int bytes);
    }

    /** Guards against room that a header asks for and no body fills. */
    private static final int LEAST = 1 << 10;

    private final int channel;
    private final int mostBody;
    private final Room room;
    private Method method;
    private Properties properties;
    private long size;
    private long come;
    /** Null while nothing is awaited, and where the body is read past. */
    private ByteBuf body;

    /**
     * Assembles the frames of a channel.
     *
     * @param mostBody bytes of the largest body that is held
     */
    public CommandAssembler(int channel, int mostBody, Room room) {
        this.channel = channel;
        this.mostBody = mostBody;
        this.room = room;
    }

    /**
     * Takes a frame of the channel in.
     *
     * @return what has come whole by it; null where more is needed
     */
    public Command add(Frame frame) throws AmqpException {
        return switch (frame.type()) {
            case METHOD -> method(frame.payload());
            case HEADER -> header(frame.payload());
            case BODY -> body(frame.payload());
            case HEARTBEAT -> throw new AmqpException(AmqpException.FRAME_ERROR, "a heartbeat on channel " + channel);
        };
    }

    private static AmqpException unexpected(String what) {
        return new AmqpException(AmqpException.UNEXPECTED_FRAME, what);
    }

    private Command method(ByteBuf payload) throws AmqpException {
        if (method != null) {
            throw unexpected("a method before the content of " + method.op() + " is whole");
        }
        Method read = Method.read(payload);
        if (read.op().carriesContent()) {
            method = read;
            return null;
        }
        return new Command(channel, read, null, null, 0);
    }

    private Command header(ByteBuf payload) throws AmqpException {
        if (method == null || properties != null) {
            throw unexpected("a header that no method awaits");
        }
        ValueType.need(payload, Short.BYTES + Short.BYTES + Long.BYTES);
        int classId = payload.readUnsignedShort();
        payload.skipBytes(Short.BYTES);
        size = payload.readLong();
        if (classId != method.op().classId() || size < 0) {
            throw unexpected("a header of class " + classId + " with a body of " + size + " bytes");
        }
        properties = Properties.read(payload);
        body = size <= mostBody ? Unpooled.buffer((int) Math.min(size, LEAST)) : null;
        return size == 0 ? whole() : null;
    }

    private Command body(ByteBuf payload) throws AmqpException {
        if (properties == null) {
            throw unexpected("a body that no header awaits");
        }
        int bytes = payload.readableBytes();
        come += bytes;
        if (come > size) {
            throw unexpected("a body longer than the " + size + " bytes that its header told");
        }
        if (body != null && !room.take(bytes)) {
            drop();
        }
        if (body != null) {
            body.writeBytes(payload);
        }
        return come == size ? whole() : null;
    }

    private Command whole() {
        byte[] bytes = null;
        if (body != null) {
            bytes = new byte[body.readableBytes()];
            body.getBytes(0, bytes);
        }
        Command command = new Command(channel, method, properties, bytes, size);
        drop();
        method = null;
        properties = null;
        size = 0;
        come = 0;
        return command;
    }

    private void drop() {
        if (body != null) {
            room.give(body.readableBytes());
            body = null;
        }
    }

    /** Gives back what is held, as the channel is over. */
    public void close() {
        drop();
    }
}
