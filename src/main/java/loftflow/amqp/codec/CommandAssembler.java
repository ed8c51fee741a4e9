package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Assembles the frames of one channel to commands (AMQP 0-9-1, section 4.2.6): a method, its content header and its
 * body frames. A body that exceeds a limit is skipped, so that the commands that follow it can still be read. Not
 * thread-safe.
 */
public final class CommandAssembler {
    /** Limits the bytes that incomplete bodies may occupy, over all channels that share it. */
    public interface BodyBudget {
        /** Reserves bytes; returns false, and reserves none, if they exceed the limit. */
        boolean tryReserve(int bytes);

        /** Releases reserved bytes. */
        void release(int bytes);
    }

    /** Upper bound of the initial allocation: a header alone must not allocate the declared size. */
    private static final int INITIAL_BUFFER_BYTES = 1 << 10;
    /** The entry of a field table takes so much heap for each of its bytes on the wire. */
    private static final int HEAP_BYTES_PER_PROPERTY_BYTE = 32;
    /** Properties of this size on the wire are held whatever the budget. */
    private static final int GUARANTEED_PROPERTY_BYTES = 512;

    private final int channel;
    private final int maxBodyBytes;
    private final BodyBudget bodyBudget;
    private Method method;
    private Properties properties;
    private long bodySize;
    private long receivedBytes;
    /** What is reserved for {@link #properties}. */
    private int propertyBytes;
    /** Null while no body is expected, and while the body is skipped. */
    private ByteBuf body;

    /**
     * Creates the assembler of one channel.
     *
     * @param maxBodyBytes size of the largest body that is buffered; larger ones are skipped
     */
    public CommandAssembler(int channel, int maxBodyBytes, BodyBudget bodyBudget) {
        this.channel = channel;
        this.maxBodyBytes = maxBodyBytes;
        this.bodyBudget = bodyBudget;
    }

    /**
     * Adds a received frame of the channel. The frame is not released.
     *
     * @return the command that the frame completes; null if further frames are needed
     * @throws AmqpException if the frame is malformed or not allowed at this point
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
            throw unexpected("a method before the content of " + method.type() + " is whole");
        }
        Method received = Method.read(payload);
        if (received.type().carriesContent()) {
            method = received;
            return null;
        }
        return new Command(channel, received, null, null, 0);
    }

    private Command header(ByteBuf payload) throws AmqpException {
        if (method == null || properties != null) {
            throw unexpected("a header that no method awaits");
        }
        ValueType.requireReadable(payload, Short.BYTES + Short.BYTES + Long.BYTES);
        int classId = payload.readUnsignedShort();
        payload.skipBytes(Short.BYTES);
        bodySize = payload.readLong();
        if (classId != method.type().classId() || bodySize < 0) {
            throw unexpected("a header of class " + classId + " with a body of " + bodySize + " bytes");
        }
        int heldBytes = HEAP_BYTES_PER_PROPERTY_BYTE * Math.max(0, payload.readableBytes() - GUARANTEED_PROPERTY_BYTES);
        properties = Properties.read(payload);
        if (!bodyBudget.tryReserve(heldBytes)) {
            properties = Properties.NONE;
            return bodySize == 0 ? complete() : null;
        }
        propertyBytes = heldBytes;
        body = bodySize <= maxBodyBytes ? Unpooled.buffer((int) Math.min(bodySize, INITIAL_BUFFER_BYTES)) : null;
        return bodySize == 0 ? complete() : null;
    }

    private Command body(ByteBuf payload) throws AmqpException {
        if (properties == null) {
            throw unexpected("a body that no header awaits");
        }
        int bytes = payload.readableBytes();
        receivedBytes += bytes;
        if (receivedBytes > bodySize) {
            throw unexpected("a body longer than the " + bodySize + " bytes that its header told");
        }
        if (body != null && !bodyBudget.tryReserve(bytes)) {
            releaseBody();
        }
        if (body != null) {
            body.writeBytes(payload);
        }
        return receivedBytes == bodySize ? complete() : null;
    }

    private Command complete() {
        byte[] bytes = null;
        if (body != null) {
            bytes = new byte[body.readableBytes()];
            body.getBytes(0, bytes);
        }
        Command command = new Command(channel, method, properties, bytes, bodySize);
        releaseBody();
        releaseProperties();
        method = null;
        properties = null;
        bodySize = 0;
        receivedBytes = 0;
        return command;
    }

    private void releaseBody() {
        if (body != null) {
            bodyBudget.release(body.readableBytes());
            body = null;
        }
    }

    private void releaseProperties() {
        bodyBudget.release(propertyBytes);
        propertyBytes = 0;
    }

    /** Releases the buffered bytes; called when the channel is closed. */
    public void close() {
        releaseBody();
        releaseProperties();
    }
}
