package loftflow.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Named access to a JSON object or to an array of values in a known order. */
public final class JsonFields {
    private final String where;
    private final Map<?, ?> members;
    private final List<?> values;

    private JsonFields(String where, Map<?, ?> members, List<?> values) {
        this.where = where;
        this.members = members;
        this.values = values;
    }

    public static JsonFields ofObject(String where, Object json) {
        if (json instanceof Map<?, ?> members) {
            return new JsonFields(where, members, List.of());
        }
        throw new MalformedInputException(where + ": an object is needed");
    }

    public static JsonFields ofArray(String where, Object json) {
        if (json instanceof List<?> values) {
            return new JsonFields(where, Map.of(), values);
        }
        throw new MalformedInputException(where + ": an array is needed");
    }

    /** An array that begins with its own name. */
    public static JsonFields ofMessage(Object json) {
        JsonFields message = ofArray("message", json);
        return ofArray(message.text(0), json);
    }

    /** Reads the value at the parser's current token into maps, lists, text, numbers and booleans. */
    public static Object read(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new MalformedInputException("the line ends early");
        }
        return switch (token) {
            case START_ARRAY -> readArray(parser);
            case START_OBJECT -> readObject(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new MalformedInputException("unexpected " + token);
        };
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

    public Object value(Object at) {
        if (at instanceof Integer index) {
            return index < values.size() ? values.get(index) : null;
        }
        return members.get(at);
    }

    public JsonFields object(Object at) {
        return ofObject(where + "." + at, value(at));
    }

    public List<?> list(Object at) {
        Object value = value(at);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw missing(at, "an array");
    }

    public String text(Object at) {
        if (value(at) instanceof String text) {
            return text;
        }
        throw missing(at, "text");
    }

    public String textOrNull(Object at) {
        return value(at) instanceof String text ? text : null;
    }

    public double number(Object at) {
        if (value(at) instanceof Number number) {
            return number.doubleValue();
        }
        throw missing(at, "a number");
    }

    public double number(Object at, double absent) {
        return value(at) == null ? absent : number(at);
    }

    public long whole(Object at) {
        if (value(at) instanceof Number number) {
            return number.longValue();
        }
        throw missing(at, "a whole number");
    }

    public long whole(Object at, long absent) {
        return value(at) == null ? absent : whole(at);
    }

    public boolean flag(Object at) {
        Object value = value(at);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw missing(at, "true or false");
    }

    /** Seconds on the wire as microseconds. */
    public long micros(Object at) {
        return Math.round(number(at) * 1e6);
    }

    public long micros(Object at, long absent) {
        return value(at) == null ? absent : micros(at);
    }

    private MalformedInputException missing(Object at, String what) {
        return new MalformedInputException(where + ": value " + at + " must be " + what);
    }
}
