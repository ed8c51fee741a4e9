package loftflow.deadletter;

import java.util.List;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;

/**
 * A message that could not be delivered. Times are wall time in microseconds since the epoch.
 *
 * @param id its number in the store, above 0; 0 before it has one
 * @param content the message whole, with the deadline that it had
 * @param keptAt when it ended
 * @param why the last that happened, in a word or two
 * @param told what its client was told
 * @param due when it is next looked at; {@link #NEVER_DUE} where only a person's word brings it back
 * @param word the newest word of a person that it may be sent again, or null
 * @param resends how often it was sent again
 */
public record DeadLetter(
        long id,
        Message.Content content,
        long keptAt,
        String why,
        String told,
        State state,
        long due,
        Word word,
        int resends,
        List<Try> tries) {
    /** Not due by itself. */
    public static final long NEVER_DUE = Long.MAX_VALUE;

    /** Where an entry stands; a message ends in exactly one of these. */
    public enum State {
        KEPT,
        RESENDING,
        DELIVERED,
        DISCARDED
    }

    /**
     * An attempt.
     *
     * @param building where the route stood, empty where that is not known any more
     */
    public record Try(String route, String building, long sentAt, AttemptOutcome result) {
        public ExecutionCertainty ran() {
            return ExecutionCertainty.of(result);
        }
    }

    /**
     * A person's word that the partner did not post the message.
     *
     * @param tries how many attempts it speaks of, the first ones
     * @param at when it was given
     */
    public record Word(String by, String reason, int tries, long at) {}

    /** What is known of all attempts together. */
    public ExecutionCertainty ran() {
        return tries.stream().map(Try::ran).max(Enum::compareTo).orElse(ExecutionCertainty.NEVER);
    }

    /** The attempts that may have run and that no person has spoken for. */
    public List<Try> unproven() {
        int from = word == null ? 0 : Math.min(word.tries(), tries.size());
        return tries.subList(from, tries.size()).stream()
                .filter(t -> t.ran() == ExecutionCertainty.MAYBE)
                .toList();
    }
}
