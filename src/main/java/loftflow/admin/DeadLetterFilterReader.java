package loftflow.admin;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Locale;
import java.util.Map;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.ExecutionCertainty;

/**
 * Which entries a request means, read from its members.
 *
 * @param id one alone, or 0
 * @param most so many at the most
 */
public record DeadLetterFilterReader(DeadLetterStore.Filter filter, long id, long most, boolean bodies) {

    /**
     * Reads them.
     *
     * @throws IllegalArgumentException where a member makes no sense, naming it
     */
    public static DeadLetterFilterReader of(Map<String, String> request) {
        DeadLetterStore.Filter filter = new DeadLetterStore.Filter(
                word(request, "state", DeadLetter.State.class),
                request.containsKey("destination") ? (int) number(request, "destination") : null,
                request.get("class"),
                request.get("tenant"),
                word(request, "ran", ExecutionCertainty.class),
                time(request, "since"),
                time(request, "until"));
        long id = request.containsKey("id") ? id(request) : 0;
        return new DeadLetterFilterReader(
                filter,
                id,
                request.containsKey("most") ? number(request, "most") : Long.MAX_VALUE,
                request.containsKey("body"));
    }

    static long id(Map<String, String> request) {
        return number(request, "id");
    }

    private static long number(Map<String, String> request, String name) {
        String text = request.getOrDefault(name, "");
        if (!text.matches("\\d{1,15}")) {
            throw new IllegalArgumentException(name + ": a number is needed, not \"" + text + "\"");
        }
        return Long.parseLong(text);
    }

    private static <E extends Enum<E>> E word(Map<String, String> request, String name, Class<E> words) {
        String text = request.get(name);
        if (text == null) {
            return null;
        }
        try {
            return Enum.valueOf(words, text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    name + ": \"" + text + "\" is none of "
                            + java.util.Arrays.toString(words.getEnumConstants())
                                    .toLowerCase(Locale.ROOT),
                    e);
        }
    }

    /** Microseconds of a time such as {@code 2026-12-01T08:00:00Z}, 0 where there is none. */
    private static long time(Map<String, String> request, String name) {
        String text = request.get(name);
        if (text == null) {
            return 0;
        }
        try {
            return Instant.parse(text).toEpochMilli() * 1000;
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException(
                    name + ": a time like 2026-12-01T08:00:00Z is needed, not \"" + text + "\"", e);
        }
    }
}
