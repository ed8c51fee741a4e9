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
 * Field tables (AMQP 0-9-1, section 4.2.5.5), with the type letters that RabbitMQ and its clients use where those of
 * the
 * specification differ. Values are Boolean, Byte, Short, Integer, Long, Float, Double, BigDecimal, String, Instant,
 * byte[], List, Map and null. Unsigned numbers come as the next larger type.
 */
public final class FieldTables {
    /** Guards against tables in tables that would end the stack. */
    static final int MOST_NESTED = 16;

    private static final int MOST_SCALE = 255;

    private FieldTables() {}

    /** Reads a table with its length ahead. */
    public static Map<String, Object> read(ByteBuf in) throws AmqpException {
        return read(in, 0);
    }

    private static Map<String, Object> read(ByteBuf in, int nested) throws AmqpException {
        ByteBuf part = part(in, nested);
        Map<String, Object> table = new LinkedHashMap<>();
        while (part.isReadable()) {
            String name = ValueType.text(part, part.readUnsignedByte());
            table.put(name, value(part, nested));
        }
        return table;
    }

    private static List<Object> readArray(ByteBuf in, int nested) throws AmqpException {
        ByteBuf part = part(in, nested);
        List<Object> array = new ArrayList<>();
        while (part.isReadable()) {
            array.add(value(part, nested));
        }
        return array;
    }

    private static ByteBuf part(ByteBuf in, int nested) throws AmqpException {
        if (nested > MOST_NESTED) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "tables are nested more than " + MOST_NESTED + " deep");
        }
        long length = ValueType.need(in, Integer.BYTES).readUnsignedInt();
        return ValueType.need(in, length).readSlice((int) length);
    }

    private static Object value(ByteBuf in, int nested) throws AmqpException {
        char type = (char) ValueType.need(in, 1).readUnsignedByte();
        return switch (type) {
            case 't' -> ValueType.need(in, 1).readByte() != 0;
            case 'b' -> ValueType.need(in, 1).readByte();
            case 'B' -> ValueType.need(in, 1).readUnsignedByte();
            case 's' -> ValueType.need(in, Short.BYTES).readShort();
            case 'u' -> ValueType.need(in, Short.BYTES).readUnsignedShort();
            case 'I' -> ValueType.need(in, Integer.BYTES).readInt();
            case 'i' -> ValueType.need(in, Integer.BYTES).readUnsignedInt();
            case 'l', 'L' -> ValueType.need(in, Long.BYTES).readLong();
            case 'f' -> ValueType.need(in, Float.BYTES).readFloat();
            case 'd' -> ValueType.need(in, Double.BYTES).readDouble();
            case 'D' -> decimal(in);
            case 'S' -> ValueType.LONGSTR.read(in);
            case 'T' -> instant(in);
            case 'x' -> bytes(in);
            case 'A' -> readArray(in, nested + 1);
            case 'F' -> read(in, nested + 1);
            case 'V' -> null;
            default -> throw new AmqpException(AmqpException.SYNTAX_ERROR, "a field is of unknown type " + (int) type);
        };
    }

    private static BigDecimal decimal(ByteBuf in) throws AmqpException {
        int scale = ValueType.need(in, 1 + Integer.BYTES).readUnsignedByte();
        return new BigDecimal(BigInteger.valueOf(in.readInt()), scale);
    }

    private static Instant instant(ByteBuf in) throws AmqpException {
        long seconds = ValueType.need(in, Long.BYTES).readLong();
        if (seconds < Instant.MIN.getEpochSecond() || seconds > Instant.MAX.getEpochSecond()) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, "a time is out of bounds");
        }
        return Instant.ofEpochSecond(seconds);
    }

    private static byte[] bytes(ByteBuf in) throws AmqpException {
        long length = ValueType.need(in, Integer.BYTES).readUnsignedInt();
        byte[] bytes = new byte[ValueType.need(in, length).readableBytes() < length ? 0 : (int) length];
        in.readBytes(bytes);
        return bytes;
    }

    /** Writes a table with its length ahead. */
    public static void write(ByteBuf out, Map<?, ?> table) {
        int start = out.writerIndex();
        out.writeInt(0);
        table.forEach((name, value) -> {
            ValueType.writeShort(out, (String) name);
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
            ValueType.writeLong(out.writeByte('S'), text.getBytes(StandardCharsets.UTF_8));
        } else if (value instanceof byte[] bytes) {
            ValueType.writeLong(out.writeByte('x'), bytes);
        } else if (value instanceof Number number) {
            writeNumber(out, number);
        } else if (value instanceof Instant time) {
            out.writeByte('T').writeLong(time.getEpochSecond());
        } else if (value instanceof Map<?, ?> table) {
            write(out.writeByte('F'), table);
        } else if (value instanceof List<?> array) {
            int start = out.writeByte('A').writerIndex();
            out.writeInt(0);
            array.forEach(one -> writeValue(out, one));
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
                && decimal.scale() <= MOST_SCALE
                && decimal.unscaledValue().bitLength() < Integer.SIZE) {
            out.writeByte('D')
                    .writeByte(decimal.scale())
                    .writeInt(decimal.unscaledValue().intValue());
        } else {
            throw new IllegalArgumentException("no field can hold " + number + ", a " + number.getClass());
        }
    }
}
