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
 * The selection of dead letters in a request.
 *
 * @param id the id of a single dead letter; 0 for no restriction
 * @param maxEntries the maximum number of dead letters
 * @param withBodies whether the response includes their bodies
 */
public record DeadLetterSelection(DeadLetterStore.Filter filter, long id, long maxEntries, boolean withBodies) {
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * Parses the selection in a request.
     *
     * @throws IllegalArgumentException if a member is invalid; the message names the member
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

    /** Returns the value whose code a member contains, ignoring case; null if the request has no such member. */
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

    /**
     * Parses a time such as {@code 2026-12-01T08:00:00Z} to microseconds since the epoch; 0 if the member is missing.
     */
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
