package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The kinds of a method's arguments and of properties (AMQP 0-9-1, section 4.2.5). */
public enum ValueType {
    OCTET(Integer.class),
    SHORT(Integer.class),
    LONG(Long.class),
    LONGLONG(Long.class),
    SHORTSTR(String.class),
    LONGSTR(String.class),
    TABLE(Map.class),
    /** Seconds since 1970. */
    TIMESTAMP(Long.class),
    /** Bits that follow each other share octets, the first one lowest. */
    BIT(Boolean.class);

    private static final int MOST_SHORT = 255;

    private final Class<?> type;

    ValueType(Class<?> type) {
        this.type = type;
    }

    /** True where a value can be written as this kind. */
    boolean fits(Object value) {
        return type.isInstance(value);
    }

    /** Reads a value of any kind but {@link #BIT}. */
    Object read(ByteBuf in) throws AmqpException {
        return switch (this) {
            case OCTET -> (int) need(in, Byte.BYTES).readUnsignedByte();
            case SHORT -> need(in, Short.BYTES).readUnsignedShort();
            case LONG -> need(in, Integer.BYTES).readUnsignedInt();
            case LONGLONG, TIMESTAMP -> need(in, Long.BYTES).readLong();
            case SHORTSTR -> text(in, need(in, Byte.BYTES).readUnsignedByte());
            case LONGSTR -> text(in, need(in, Integer.BYTES).readUnsignedInt());
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
            case SHORTSTR -> writeShort(out, (String) value);
            case LONGSTR -> writeLong(out, ((String) value).getBytes(StandardCharsets.UTF_8));
            case TABLE -> FieldTables.write(out, (Map<?, ?>) value);
            case BIT -> throw new IllegalStateException("bits are written together");
        }
    }

    /** Guards against lengths that point beyond what is there. */
    static ByteBuf need(ByteBuf in, long bytes) throws AmqpException {
        if (in.readableBytes() < bytes) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "a value ends beyond its frame");
        }
        return in;
    }

    static String text(ByteBuf in, long length) throws AmqpException {
        return need(in, length)
                .readCharSequence((int) length, StandardCharsets.UTF_8)
                .toString();
    }

    static void writeShort(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MOST_SHORT) {
            throw new IllegalArgumentException("longer than " + MOST_SHORT + " bytes: " + text);
        }
        out.writeByte(bytes.length);
        out.writeBytes(bytes);
    }

    static void writeLong(ByteBuf out, byte[] bytes) {
        out.writeInt(bytes.length);
        out.writeBytes(bytes);
    }
}
