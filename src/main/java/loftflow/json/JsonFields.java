package loftflow.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Typed access to the values of a JSON object by member name, or of a JSON array by index from 0. A position is a
 * {@link String} or an {@link Integer}. Unless stated otherwise, a method throws {@link MalformedInputException} if the
 * value at the position is not of the expected type; the error names the position. A JSON null counts as absent.
 */
public final class JsonFields {
    private static final double MICROS_PER_SECOND = 1e6;

    /** The path to this object or array, for error messages. */
    private final String path;

    private final Map<?, ?> members;
    private final List<?> values;

    private JsonFields(String path, Map<?, ?> members, List<?> values) {
        this.path = path;
        this.members = members;
        this.values = values;
    }

    /**
     * Returns access to a JSON object.
     *
     * @param path its name in error messages
     * @param json a value returned by {@link #read}
     * @throws MalformedInputException if the value is not an object
     */
    public static JsonFields ofObject(String path, Object json) {
        if (json instanceof Map<?, ?> members) {
            return new JsonFields(path, members, List.of());
        }
        throw new MalformedInputException(path + ": an object is needed");
    }

    /**
     * Returns access to a JSON array.
     *
     * @param path its name in error messages
     * @param json a value returned by {@link #read}
     * @throws MalformedInputException if the value is not an array
     */
    public static JsonFields ofArray(String path, Object json) {
        if (json instanceof List<?> values) {
            return new JsonFields(path, Map.of(), values);
        }
        throw new MalformedInputException(path + ": an array is needed");
    }

    /**
     * Returns access to an array whose first value is its name in error messages.
     *
     * @throws MalformedInputException if the value is not an array that begins with a string
     */
    public static JsonFields ofMessage(Object json) {
        JsonFields message = ofArray("message", json);
        return ofArray(message.text(0), json);
    }

    /**
     * Reads the value that starts at the parser's current token, as a map, list, string, number, boolean or null.
     *
     * @throws MalformedInputException if the input ends within the value
     * @throws IOException if the input is not valid JSON or can't be read
     */
    public static Object read(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new MalformedInputException("unexpected end of JSON input");
        }
        return switch (token) {
            case START_ARRAY -> readArray(parser);
            case START_OBJECT -> readObject(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new MalformedInputException("unexpected JSON token " + token);
        };
    }

    /**
     * Reads some members of the object that starts at the parser's current token, so that its memory is bounded
     * whatever else is in it.
     *
     * @param names the members that are read; those whose value is an array or an object count as absent
     * @return the members; null if the value is not an object
     * @throws MalformedInputException if the input ends within the value
     * @throws IOException if the input is not valid JSON or can't be read
     */
    public static Map<String, Object> readMembers(JsonParser parser, Set<String> names) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return null;
        }
        Map<String, Object> members = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (names.contains(name) && value != null && value.isScalarValue()) {
                members.put(name, read(parser));
            } else {
                parser.skipChildren();
            }
        }
        return members;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(read(parser));
        }
        return values;
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> members = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            members.put(name, read(parser));
        }
        return members;
    }

    /** Returns the value at a position, of any type; null if absent. */
    public Object value(Object position) {
        if (position instanceof Integer index) {
            return index < values.size() ? values.get(index) : null;
        }
        return members.get(position);
    }

    /** Returns the object at a position, which must be present. */
    public JsonFields object(Object position) {
        return ofObject(path + "." + position, value(position));
    }

    /** Returns the array at a position; empty if absent. */
    public List<?> listOrEmpty(Object position) {
        Object value = value(position);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw wrongType(position, "an array");
    }

    /** Returns the string at a position, which must be present. */
    public String text(Object position) {
        if (value(position) instanceof String text) {
            return text;
        }
        throw wrongType(position, "text");
    }

    /** Returns the string at a position; null if absent or of another type. */
    public String textOrNull(Object position) {
        return value(position) instanceof String text ? text : null;
    }

    /** Returns the number at a position, which must be present. */
    public double number(Object position) {
        if (value(position) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrongType(position, "a number");
    }

    /** Returns the number at a position, or a default if absent. */
    public double number(Object position, double defaultValue) {
        return value(position) == null ? defaultValue : number(position);
    }

    /** Returns the number at a position, which must be present, truncated to a whole number. */
    public long wholeNumber(Object position) {
        if (value(position) instanceof Number number) {
            return number.longValue();
        }
        throw wrongType(position, "a whole number");
    }

    /** Returns the number at a position, truncated to a whole number, or a default if absent. */
    public long wholeNumber(Object position, long defaultValue) {
        return value(position) == null ? defaultValue : wholeNumber(position);
    }

    /** Returns the boolean at a position; false if absent. */
    public boolean booleanOrFalse(Object position) {
        Object value = value(position);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw wrongType(position, "true or false");
    }

    /** Returns the number of seconds at a position, which must be present, in microseconds. */
    public long secondsAsMicros(Object position) {
        return Math.round(number(position) * MICROS_PER_SECOND);
    }

    /** Returns the number of seconds at a position, in microseconds, or a default in microseconds if absent. */
    public long secondsAsMicros(Object position, long defaultMicros) {
        return value(position) == null ? defaultMicros : secondsAsMicros(position);
    }

    private MalformedInputException wrongType(Object position, String expected) {
        return new MalformedInputException(path + ": value " + position + " must be " + expected);
    }
}
