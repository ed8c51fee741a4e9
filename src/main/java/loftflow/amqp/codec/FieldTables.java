package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes field tables (AMQP 0-9-1, section 4.2.5.5). Where the type letters of RabbitMQ and its clients
 * differ from those of the specification, the former are used. Values are Boolean, Byte, Short, Integer, Long, Float,
 * Double, BigDecimal, String, Instant, byte[], List, Map and null. Unsigned numbers are read as the next larger type.
 */
public final class FieldTables {
    /** Limit of the recursion, so that nested tables can't overflow the stack. */
    static final int MAX_NESTING = 16;

    private static final int MAX_DECIMAL_SCALE = 255;

    private FieldTables() {}

    /**
     * Reads a table and its length prefix.
     *
     * @throws AmqpException if the table is malformed or nested too deeply
     */
    public static Map<String, Object> read(ByteBuf in) throws AmqpException {
        return read(in, 0);
    }

    private static Map<String, Object> read(ByteBuf in, int depth) throws AmqpException {
        ByteBuf content = readContent(in, depth);
        Map<String, Object> table = new LinkedHashMap<>();
        while (content.isReadable()) {
            String name = ValueType.readText(content, content.readUnsignedByte());
            table.put(name, readValue(content, depth));
        }
        return table;
    }

    private static List<Object> readArray(ByteBuf in, int depth) throws AmqpException {
        ByteBuf content = readContent(in, depth);
        List<Object> array = new ArrayList<>();
        while (content.isReadable()) {
            array.add(readValue(content, depth));
        }
        return array;
    }

    private static ByteBuf readContent(ByteBuf in, int depth) throws AmqpException {
        if (depth > MAX_NESTING) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "tables are nested more than " + MAX_NESTING + " deep");
        }
        long length = ValueType.requireReadable(in, Integer.BYTES).readUnsignedInt();
        return ValueType.requireReadable(in, length).readSlice((int) length);
    }

    private static Object readValue(ByteBuf in, int depth) throws AmqpException {
        char type = (char) ValueType.requireReadable(in, 1).readUnsignedByte();
        return switch (type) {
            case 't' -> ValueType.requireReadable(in, 1).readByte() != 0;
            case 'b' -> ValueType.requireReadable(in, 1).readByte();
            case 'B' -> ValueType.requireReadable(in, 1).readUnsignedByte();
            case 's' -> ValueType.requireReadable(in, Short.BYTES).readShort();
            case 'u' -> ValueType.requireReadable(in, Short.BYTES).readUnsignedShort();
            case 'I' -> ValueType.requireReadable(in, Integer.BYTES).readInt();
            case 'i' -> ValueType.requireReadable(in, Integer.BYTES).readUnsignedInt();
            case 'l', 'L' -> ValueType.requireReadable(in, Long.BYTES).readLong();
            case 'f' -> ValueType.requireReadable(in, Float.BYTES).readFloat();
            case 'd' -> ValueType.requireReadable(in, Double.BYTES).readDouble();
            case 'D' -> readDecimal(in);
            case 'S' -> ValueType.LONGSTR.read(in);
            case 'T' -> readInstant(in);
            case 'x' -> readBytes(in);
            case 'A' -> readArray(in, depth + 1);
            case 'F' -> read(in, depth + 1);
            case 'V' -> null;
            default -> throw new AmqpException(AmqpException.SYNTAX_ERROR, "a field is of unknown type " + (int) type);
        };
    }

    private static BigDecimal readDecimal(ByteBuf in) throws AmqpException {
        int scale = ValueType.requireReadable(in, 1 + Integer.BYTES).readUnsignedByte();
        return new BigDecimal(BigInteger.valueOf(in.readInt()), scale);
    }

    private static Instant readInstant(ByteBuf in) throws AmqpException {
        long seconds = ValueType.requireReadable(in, Long.BYTES).readLong();
        if (seconds < Instant.MIN.getEpochSecond() || seconds > Instant.MAX.getEpochSecond()) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "a time is out of bounds");
        }
        return Instant.ofEpochSecond(seconds);
    }

    private static byte[] readBytes(ByteBuf in) throws AmqpException {
        long length = ValueType.requireReadable(in, Integer.BYTES).readUnsignedInt();
        byte[] bytes = new byte[ValueType.requireReadable(in, length).readableBytes() < length ? 0 : (int) length];
        in.readBytes(bytes);
        return bytes;
    }

    /**
     * Writes a table and its length prefix.
     *
     * @throws IllegalArgumentException if a value is of a type that a field can't hold
     */
    public static void write(ByteBuf out, Map<?, ?> table) {
        int start = out.writerIndex();
        out.writeInt(0);
        table.forEach((name, value) -> {
            ValueType.writeShortString(out, (String) name);
            writeValue(out, value);
        });
        out.setInt(start, out.writerIndex() - start - Integer.BYTES);
    }

    private static void writeValue(ByteBuf out, Object value) {
        if (value == null) {
            out.writeByte('V');
        } else if (value instanceof Boolean flag) {
            out.writeByte('t').writeBoolean(flag);
        } else if (value instanceof String text) {
            ValueType.writeLongString(out.writeByte('S'), text.getBytes(StandardCharsets.UTF_8));
        } else if (value instanceof byte[] bytes) {
            ValueType.writeLongString(out.writeByte('x'), bytes);
        } else if (value instanceof Number number) {
            writeNumber(out, number);
        } else if (value instanceof Instant time) {
            out.writeByte('T').writeLong(time.getEpochSecond());
        } else if (value instanceof Map<?, ?> table) {
            write(out.writeByte('F'), table);
        } else if (value instanceof List<?> array) {
            int start = out.writeByte('A').writerIndex();
            out.writeInt(0);
            array.forEach(element -> writeValue(out, element));
            out.setInt(start, out.writerIndex() - start - Integer.BYTES);
        } else {
            throw new IllegalArgumentException("no field can hold a " + value.getClass());
        }
    }

    private static void writeNumber(ByteBuf out, Number number) {
        if (number instanceof Byte) {
            out.writeByte('b').writeByte(number.byteValue());
        } else if (number instanceof Short) {
            out.writeByte('s').writeShort(number.shortValue());
        } else if (number instanceof Integer) {
            out.writeByte('I').writeInt(number.intValue());
        } else if (number instanceof Long) {
            out.writeByte('l').writeLong(number.longValue());
        } else if (number instanceof Float) {
            out.writeByte('f').writeFloat(number.floatValue());
        } else if (number instanceof Double) {
            out.writeByte('d').writeDouble(number.doubleValue());
        } else if (number instanceof BigDecimal decimal
                && decimal.scale() >= 0
                && decimal.scale() <= MAX_DECIMAL_SCALE
                && decimal.unscaledValue().bitLength() < Integer.SIZE) {
            out.writeByte('D')
                    .writeByte(decimal.scale())
                    .writeInt(decimal.unscaledValue().intValue());
        } else {
            throw new IllegalArgumentException("no field can hold " + number + ", a " + number.getClass());
        }
    }
}
