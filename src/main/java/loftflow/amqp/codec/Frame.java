package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;

/**
 * One frame (AMQP 0-9-1, section 4.2.3).
 *
 * @param payload a retained slice, which the caller of {@link #next} must release
 */
public record Frame(Type type, int channel, ByteBuf payload) {
    /** The kind of payload. */
    public enum Type {
        METHOD(1),
        HEADER(2),
        BODY(3),
        HEARTBEAT(8);

        private final int number;

        Type(int number) {
            this.number = number;
        }

        static Type of(int number) throws AmqpException {
            return switch (number) {
                case 1 -> METHOD;
                case 2 -> HEADER;
                case 3 -> BODY;
                case 8 -> HEARTBEAT;
                default -> throw new AmqpException(AmqpException.FRAME_ERROR, "no frame is of type " + number);
            };
        }
    }

    /** Size in bytes up to which every peer accepts frames, also before {@code connection.tune}. */
    public static final int MIN_FRAME_MAX = 4096;
    /** Bytes of a frame in addition to its payload: the header and the end octet. */
    public static final int OVERHEAD_BYTES = 8;

    private static final int HEADER_BYTES = 7;
    private static final int END_OCTET = 0xCE;

    /**
     * Reads the next frame. Consumes no bytes if the frame is incomplete.
     *
     * @param frameMax the negotiated size of the largest frame in bytes
     * @return null if more bytes are needed
     * @throws AmqpException if the bytes can't start a valid frame; thrown as early as possible
     */
    public static Frame next(ByteBuf in, int frameMax) throws AmqpException {
        if (in.readableBytes() < HEADER_BYTES) {
            if (in.isReadable()) {
                Type.of(in.getUnsignedByte(in.readerIndex()));
            }
            return null;
        }
        int start = in.readerIndex();
        Type type = Type.of(in.getUnsignedByte(start));
        int channel = in.getUnsignedShort(start + 1);
        long size = in.getUnsignedInt(start + 1 + Short.BYTES);
        if (size + OVERHEAD_BYTES > frameMax) {
            throw new AmqpException(
                    AmqpException.FRAME_ERROR,
                    "a frame of " + (size + OVERHEAD_BYTES) + " bytes is larger than " + frameMax);
        }
        if (in.readableBytes() < size + OVERHEAD_BYTES) {
            return null;
        }
        if (in.getUnsignedByte(start + HEADER_BYTES + (int) size) != END_OCTET) {
            throw new AmqpException(AmqpException.FRAME_ERROR, "a frame has no end octet");
        }
        in.skipBytes(HEADER_BYTES);
        ByteBuf payload = in.readRetainedSlice((int) size);
        in.skipBytes(1);
        return new Frame(type, channel, payload);
    }

    /** Starts a frame; returns the index of its payload, which {@link #end} needs. */
    private static int begin(ByteBuf out, Type type, int channel) {
        out.writeByte(type.number).writeShort(channel).writeInt(0);
        return out.writerIndex();
    }

    private static void end(ByteBuf out, int start) {
        out.setInt(start - Integer.BYTES, out.writerIndex() - start);
        out.writeByte(END_OCTET);
    }

    /** Writes a method frame. */
    public static void write(ByteBuf out, int channel, Method method) {
        int start = begin(out, Type.METHOD, channel);
        method.write(out);
        end(out, start);
    }

    /**
     * Writes a method with its content: a header frame and as few body frames as possible; none for an empty body.
     *
     * @param frameMax the negotiated size of the largest frame in bytes
     */
    public static void write(
            ByteBuf out, int channel, Method method, Properties properties, byte[] body, int frameMax) {
        write(out, channel, method);
        int start = begin(out, Type.HEADER, channel);
        out.writeShort(method.type().classId()).writeShort(0).writeLong(body.length);
        properties.write(out);
        end(out, start);
        int maxPayloadBytes = frameMax - OVERHEAD_BYTES;
        for (int offset = 0; offset < body.length; offset += maxPayloadBytes) {
            start = begin(out, Type.BODY, channel);
            out.writeBytes(body, offset, Math.min(maxPayloadBytes, body.length - offset));
            end(out, start);
        }
    }

    /** Writes a heartbeat frame. */
    public static void writeHeartbeat(ByteBuf out) {
        end(out, begin(out, Type.HEARTBEAT, 0));
    }
}
