package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Map;

/** A method with its arguments, which are read by their names in the specification. Immutable. */
public final class Method {
    private final MethodType type;
    private final Object[] values;

    private Method(MethodType op, Object[] values) {
        this.type = op;
        this.values = values;
    }

    /**
     * Creates a method to send.
     *
     * @param values the arguments without the reserved ones, in order
     * @throws IllegalArgumentException if their number or a type does not match the method
     */
    public static Method of(MethodType op, Object... values) {
        List<MethodType.Argument> arguments = op.arguments();
        Object[] allValues = new Object[arguments.size()];
        int used = 0;
        for (int i = 0; i < allValues.length; i++) {
            MethodType.Argument argument = arguments.get(i);
            boolean reserved = argument.name().startsWith("reserved");
            allValues[i] =
                    reserved ? reservedValue(argument.valueType()) : used < values.length ? values[used++] : null;
            if (!argument.valueType().fits(allValues[i])) {
                throw new IllegalArgumentException(op + ": " + argument.name() + " can't be " + allValues[i]);
            }
        }
        if (used != values.length) {
            throw new IllegalArgumentException(op + " takes " + used + " arguments, not " + values.length);
        }
        return new Method(op, allValues);
    }

    private static Object reservedValue(ValueType valueType) {
        return switch (valueType) {
            case OCTET, SHORT -> 0;
            case BIT -> false;
            case SHORTSTR, LONGSTR -> "";
            default -> throw new IllegalStateException("nothing of kind " + valueType + " is reserved");
        };
    }

    /** Reads the payload of a method frame. */
    public static Method read(ByteBuf in) throws AmqpException {
        ValueType.requireReadable(in, Short.BYTES + Short.BYTES);
        int classId = in.readUnsignedShort();
        int methodId = in.readUnsignedShort();
        MethodType op = MethodType.of(classId, methodId);
        if (op == null) {
            throw new AmqpException(
                    AmqpException.NOT_IMPLEMENTED, "method " + classId + "." + methodId + " is not implemented");
        }
        Object[] values = new Object[op.arguments().size()];
        int bits = 0;
        int nextBit = Byte.SIZE;
        for (int i = 0; i < values.length; i++) {
            ValueType valueType = op.arguments().get(i).valueType();
            if (valueType == ValueType.BIT) {
                if (nextBit == Byte.SIZE) {
                    bits = ValueType.requireReadable(in, 1).readUnsignedByte();
                    nextBit = 0;
                }
                values[i] = (bits >> nextBit++ & 1) != 0;
            } else {
                nextBit = Byte.SIZE;
                values[i] = valueType.read(in);
            }
        }
        if (in.isReadable()) {
            throw new AmqpException(AmqpException.SYNTAX_ERROR, op + " has bytes behind its arguments");
        }
        return new Method(op, values);
    }

    /** Writes the payload of a method frame. */
    void write(ByteBuf out) {
        out.writeShort(type.classId()).writeShort(type.methodId());
        int bits = 0;
        int bitCount = 0;
        for (int i = 0; i < values.length; i++) {
            ValueType valueType = type.arguments().get(i).valueType();
            if (valueType == ValueType.BIT) {
                bits |= (Boolean) values[i] ? 1 << bitCount : 0;
                bitCount++;
            }
            boolean isOctetComplete = bitCount > 0 && (valueType != ValueType.BIT || bitCount == Byte.SIZE);
            if (isOctetComplete) {
                out.writeByte(bits);
                bits = 0;
                bitCount = 0;
            }
            if (valueType != ValueType.BIT) {
                valueType.write(out, values[i]);
            }
        }
        if (bitCount > 0) {
            out.writeByte(bits);
        }
    }

    /** Returns the type of the method. */
    public MethodType type() {
        return type;
    }

    private Object argument(String name) {
        for (int i = 0; i < values.length; i++) {
            if (type.arguments().get(i).name().equals(name)) {
                return values[i];
            }
        }
        throw new IllegalArgumentException(type + " has no " + name);
    }

    /** Returns a string argument. */
    public String text(String name) {
        return (String) argument(name);
    }

    /** An argument that is a bit. */
    public boolean flag(String name) {
        return (Boolean) argument(name);
    }

    /** Returns an integer argument of any width. */
    public long number(String name) {
        return ((Number) argument(name)).longValue();
    }

    /** Returns a field table argument. */
    @SuppressWarnings("unchecked")
    public Map<String, Object> table(String name) {
        return (Map<String, Object>) argument(name);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(type.toString());
        for (int i = 0; i < values.length; i++) {
            text.append(i == 0 ? " " : ", ")
                    .append(type.arguments().get(i).name())
                    .append('=')
                    .append(values[i]);
        }
        return text.toString();
    }
}
