package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The types of method arguments and properties (AMQP 0-9-1, section 4.2.5). */
public enum ValueType {
    OCTET(Integer.class),
    SHORT(Integer.class),
    LONG(Long.class),
    LONGLONG(Long.class),
    SHORTSTR(String.class),
    LONGSTR(String.class),
    TABLE(Map.class),
    /** Seconds since the Unix epoch. */
    TIMESTAMP(Long.class),
    /** Adjacent bits are packed into octets, the first one into the lowest bit. */
    BIT(Boolean.class);

    private static final int MAX_SHORT_STRING_BYTES = 255;

    private final Class<?> javaType;

    ValueType(Class<?> type) {
        this.javaType = type;
    }

    /** Returns true if the value can be written as this type. */
    boolean fits(Object value) {
        return javaType.isInstance(value);
    }

    /** Reads a value of any type except {@link #BIT}, which {@link Method} packs. */
    Object read(ByteBuf in) throws AmqpException {
        return switch (this) {
            case OCTET -> (int) requireReadable(in, Byte.BYTES).readUnsignedByte();
            case SHORT -> requireReadable(in, Short.BYTES).readUnsignedShort();
            case LONG -> requireReadable(in, Integer.BYTES).readUnsignedInt();
            case LONGLONG, TIMESTAMP -> requireReadable(in, Long.BYTES).readLong();
            case SHORTSTR -> readText(in, requireReadable(in, Byte.BYTES).readUnsignedByte());
            case LONGSTR -> readText(in, requireReadable(in, Integer.BYTES).readUnsignedInt());
            case TABLE -> FieldTables.read(in);
            case BIT -> throw new IllegalStateException("bits are read together");
        };
    }

    void write(ByteBuf out, Object value) {
        switch (this) {
            case OCTET -> out.writeByte((Integer) value);
            case SHORT -> out.writeShort((Integer) value);
            case LONG -> out.writeInt((int) (long) (Long) value);
            case LONGLONG, TIMESTAMP -> out.writeLong((Long) value);
            case SHORTSTR -> writeShortString(out, (String) value);
            case LONGSTR -> writeLongString(out, ((String) value).getBytes(StandardCharsets.UTF_8));
            case TABLE -> FieldTables.write(out, (Map<?, ?>) value);
            case BIT -> throw new IllegalStateException("bits are written together");
        }
    }

    /** Returns the buffer, after the check that it holds so many bytes; else the length exceeds the frame. */
    static ByteBuf requireReadable(ByteBuf in, long bytes) throws AmqpException {
        if (in.readableBytes() < bytes) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "a value ends beyond its frame");
        }
        return in;
    }

    static String readText(ByteBuf in, long length) throws AmqpException {
        return requireReadable(in, length)
                .readCharSequence((int) length, StandardCharsets.UTF_8)
                .toString();
    }

    static void writeShortString(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_SHORT_STRING_BYTES) {
            throw new IllegalArgumentException("longer than " + MAX_SHORT_STRING_BYTES + " bytes: " + text);
        }
        out.writeByte(bytes.length);
        out.writeBytes(bytes);
    }

    static void writeLongString(ByteBuf out, byte[] bytes) {
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
    }
}
