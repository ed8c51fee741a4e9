package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;

/** One frame (AMQP 0-9-1, section 4.2.3). Whoever gets it from {@link #next} releases its payload. */
public record Frame(Type type, int channel, ByteBuf payload) {
    /** What a frame holds. */
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

    /** What both sides may send before they have agreed on more. */
    public static final int LEAST_MAX = 4096;
    /** Bytes of a frame beside its payload. */
    public static final int OVERHEAD = 8;

    private static final int HEAD = 7;
    private static final int END = 0xCE;

    /**
     * Takes the next frame off, or nothing at all where it is not whole yet.
     *
     * @param max bytes of the largest frame that was agreed on
     * @return null where more bytes are needed
     * @throws AmqpException as soon as a frame can't be one, before the rest of it has come
     */
    public static Frame next(ByteBuf in, int max) throws AmqpException {
        if (in.readableBytes() < HEAD) {
            if (in.isReadable()) {
                Type.of(in.getUnsignedByte(in.readerIndex()));
            }
            return null;
        }
        int start = in.readerIndex();
        Type type = Type.of(in.getUnsignedByte(start));
        int channel = in.getUnsignedShort(start + 1);
        long size = in.getUnsignedInt(start + 1 + Short.BYTES);
        if (size + OVERHEAD > max) {
            throw new AmqpException(
                    AmqpException.FRAME_ERROR, "a frame of " + (size + OVERHEAD) + " bytes is larger than " + max);
        }
        if (in.readableBytes() < size + OVERHEAD) {
            return null;
        }
        if (in.getUnsignedByte(start + HEAD + (int) size) != END) {
            throw new AmqpException(AmqpException.FRAME_ERROR, "a frame has no end octet");
        }
        in.skipBytes(HEAD);
        ByteBuf payload = in.readRetainedSlice((int) size);
        in.skipBytes(1);
        return new Frame(type, channel, payload);
    }

    /** Begins a frame; {@link #end} ends it. */
    private static int begin(ByteBuf out, Type type, int channel) {
        out.writeByte(type.number).writeShort(channel).writeInt(0);
        return out.writerIndex();
    }

    private static void end(ByteBuf out, int start) {
        out.setInt(start - Integer.BYTES, out.writerIndex() - start);
        out.writeByte(END);
    }

    /** Writes a method in its frame. */
    public static void write(ByteBuf out, int channel, Method method) {
        int start = begin(out, Type.METHOD, channel);
        method.write(out);
        end(out, start);
    }

    /** Writes a method with its content: a header and as few body frames as {@code max} allows; none for no bytes. */
    public static void write(ByteBuf out, int channel, Method method, Properties properties, byte[] body, int max) {
        write(out, channel, method);
        int start = begin(out, Type.HEADER, channel);
        out.writeShort(method.op().classId()).writeShort(0).writeLong(body.length);
        properties.write(out);
        end(out, start);
        int most = max - OVERHEAD;
        for (int from = 0; from < body.length; from += most) {
            start = begin(out, Type.BODY, channel);
            out.writeBytes(body, from, Math.min(most, body.length - from));
            end(out, start);
        }
    }

    /** Writes a heartbeat. */
    public static void writeHeartbeat(ByteBuf out) {
        end(out, begin(out, Type.HEARTBEAT, 0));
    }
}
