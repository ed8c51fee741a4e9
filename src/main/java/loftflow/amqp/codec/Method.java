package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Map;

/** One method with its arguments, which are asked for by their names in the specification. */
public final class Method {
    private final MethodType op;
    private final Object[] values;

    private Method(MethodType op, Object[] values) {
        this.op = op;
        this.values = values;
    }

    /**
     * A method to send.
     *
     * @param values the arguments that are not reserved, in order
     * @throws IllegalArgumentException where they are not what the method takes
     */
    public static Method of(MethodType op, Object... values) {
        List<MethodType.Argument> arguments = op.arguments();
        Object[] all = new Object[arguments.size()];
        int used = 0;
        for (int i = 0; i < all.length; i++) {
            MethodType.Argument argument = arguments.get(i);
            boolean reserved = argument.name().startsWith("reserved");
            all[i] = reserved ? nothing(argument.kind()) : used < values.length ? values[used++] : null;
            if (!argument.kind().fits(all[i])) {
                throw new IllegalArgumentException(op + ": " + argument.name() + " can't be " + all[i]);
            }
        }
        if (used != values.length) {
            throw new IllegalArgumentException(op + " takes " + used + " arguments, not " + values.length);
        }
        return new Method(op, all);
    }

    private static Object nothing(ValueType kind) {
        return switch (kind) {
            case OCTET, SHORT -> 0;
            case BIT -> false;
            case SHORTSTR, LONGSTR -> "";
            default -> throw new IllegalStateException("nothing of kind " + kind + " is reserved");
        };
    }

    /** Reads a method frame's payload. */
    public static Method read(ByteBuf in) throws AmqpException {
        ValueType.need(in, Short.BYTES + Short.BYTES);
        int classId = in.readUnsignedShort();
        int methodId = in.readUnsignedShort();
        MethodType op = MethodType.of(classId, methodId);
        if (op == null) {
            throw new AmqpException(
                    AmqpException.NOT_IMPLEMENTED, "method " + classId + "." + methodId + " is not implemented");
        }
        Object[] values = new Object[op.arguments().size()];
        int bits = 0;
        int bit = Byte.SIZE;
        for (int i = 0; i < values.length; i++) {
            ValueType kind = op.arguments().get(i).kind();
            if (kind == ValueType.BIT) {
                if (bit == Byte.SIZE) {
                    bits = ValueType.need(in, 1).readUnsignedByte();
                    bit = 0;
                }
                values[i] = (bits >> bit++ & 1) != 0;
            } else {
                bit = Byte.SIZE;
                values[i] = kind.read(in);
            }
        }
        if (in.isReadable()) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, op + " has bytes behind its arguments");
        }
        return new Method(op, values);
    }

    /** Writes a method frame's payload. */
    void write(ByteBuf out) {
        out.writeShort(op.classId()).writeShort(op.methodId());
        int bits = 0;
        int bit = 0;
        for (int i = 0; i < values.length; i++) {
            ValueType kind = op.arguments().get(i).kind();
            if (kind == ValueType.BIT) {
                bits |= (Boolean) values[i] ? 1 << bit : 0;
                bit++;
            }
            boolean ends = bit > 0 && (kind != ValueType.BIT || bit == Byte.SIZE);
            if (ends) {
                out.writeByte(bits);
                bits = 0;
                bit = 0;
            }
            if (kind != ValueType.BIT) {
                kind.write(out, values[i]);
            }
        }
        if (bit > 0) {
            out.writeByte(bits);
        }
    }

    public MethodType op() {
        return op;
    }

    private Object value(String name) {
        for (int i = 0; i < values.length; i++) {
            if (op.arguments().get(i).name().equals(name)) {
                return values[i];
            }
        }
        throw new IllegalArgumentException(op + " has no " + name);
    }

    /** An argument that is text. */
    public String text(String name) {
        return (String) value(name);
    }

    /** An argument that is a bit. */
    public boolean flag(String name) {
        return (Boolean) value(name);
    }

    /** An argument that is a whole number. */
    public long number(String name) {
        return ((Number) value(name)).longValue();
    }

    /** An argument that is a field table. */
    @SuppressWarnings("unchecked")
    public Map<String, Object> table(String name) {
        return (Map<String, Object>) value(name);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(op.toString());
        for (int i = 0; i < values.length; i++) {
            text.append(i == 0 ? " " : ", ")
                    .append(op.arguments().get(i).name())
                    .append('=')
                    .append(values[i]);
        }
        return text.toString();
    }
}
