package loftflow.admin;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.ExecutionCertainty;

/**
 * The dead letters that a request selects.
 *
 * @param id the id of a single one; 0 for any
 * @param maxEntries how many at most
 * @param withBodies whether their bodies are requested too
 */
public record DeadLetterSelection(DeadLetterStore.Filter filter, long id, long maxEntries, boolean withBodies) {
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * Reads the selection of a request.
     *
     * @throws IllegalArgumentException where a member is invalid; the message names it
     */
    public static DeadLetterSelection of(Map<String, String> request) {
        DeadLetterStore.Filter filter = new DeadLetterStore.Filter(
                code(request, AdminProtocol.STATE, DeadLetter.State.values(), DeadLetter.State::code),
                request.containsKey(AdminProtocol.DESTINATION)
                        ? (int) number(request, AdminProtocol.DESTINATION)
                        : null,
                request.get(AdminProtocol.REQUEST_CLASS),
                request.get(AdminProtocol.TENANT),
                code(request, AdminProtocol.CERTAINTY, ExecutionCertainty.values(), ExecutionCertainty::code),
                timeMicros(request, AdminProtocol.SINCE),
                timeMicros(request, AdminProtocol.UNTIL));
        return new DeadLetterSelection(
                filter,
                request.containsKey(AdminProtocol.ID) ? id(request) : 0,
                request.containsKey(AdminProtocol.MAX_ENTRIES)
                        ? number(request, AdminProtocol.MAX_ENTRIES)
                        : Long.MAX_VALUE,
                request.containsKey(AdminProtocol.BODY));
    }

    static long id(Map<String, String> request) {
        return number(request, AdminProtocol.ID);
    }

    private static long number(Map<String, String> request, String member) {
        String text = request.getOrDefault(member, "");
        if (!text.matches("\\d{1,15}")) {
            throw new IllegalArgumentException(member + ": a number is needed, not \"" + text + "\"");
        }
        return Long.parseLong(text);
    }

    /** The value with the code that a member names, in any case; null where the request has no such member. */
    private static <E> E code(Map<String, String> request, String member, E[] values, Function<E, String> codeOf) {
        String text = request.get(member);
        if (text == null) {
            return null;
        }
        String code = text.toUpperCase(Locale.ROOT);
        for (E value : values) {
            if (codeOf.apply(value).equals(code)) {
                return value;
            }
        }
        List<String> names =
                Stream.of(values).map(codeOf).map(AdminProtocol::nameOf).toList();
        throw new IllegalArgumentException(member + ": \"" + text + "\" is none of " + names);
    }

    /** Microseconds since the epoch of a time such as {@code 2026-12-01T08:00:00Z}; 0 where there is none. */
    private static long timeMicros(Map<String, String> request, String member) {
        String text = request.get(member);
        if (text == null) {
            return 0;
        }
        try {
            return Instant.parse(text).toEpochMilli() * MICROS_PER_MILLI;
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException(
                    member + ": a time like 2026-12-01T08:00:00Z is needed, not \"" + text + "\"", e);
        }
    }
}
