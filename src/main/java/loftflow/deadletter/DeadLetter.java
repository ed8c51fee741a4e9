package loftflow.deadletter;

import java.util.List;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;

/**
 * A message that could not be delivered. Times are wall-clock time in microseconds since the epoch.
 *
 * @param id its id in the store, above 0; 0 before it is stored
 * @param content the message, with its original deadline
 * @param storedAtMicros when its delivery ended
 * @param reason the last outcome, in a word or two
 * @param clientReply what its client was answered
 * @param state where it stands
 * @param dueMicros when it is next considered for redrive; {@link #NEVER_DUE} where only an operator brings it back
 * @param confirmation the latest confirmation by an operator; null for none
 * @param redrives how often it was sent again
 * @param attempts all attempts to deliver it, in order
 */
public record DeadLetter(
        long id,
        Message.Content content,
        long storedAtMicros,
        String reason,
        String clientReply,
        State state,
        long dueMicros,
        Confirmation confirmation,
        int redrives,
        List<Attempt> attempts) {
    /** In place of a due time: not due by itself. */
    public static final long NEVER_DUE = Long.MAX_VALUE;

    /** State of a dead letter. */
    public enum State {
        /** It waits in the store. */
        STORED("KEPT"),
        /** The engine is sending it again. */
        REDRIVING("RESENDING"),
        /** It was delivered. */
        DELIVERED("DELIVERED"),
        /** An operator discarded it. */
        DISCARDED("DISCARDED");

        private final String code;

        State(String code) {
            this.code = code;
        }

        /** The name by which the database and, in lower case, the admin protocol know this state; it never changes. */
        public String code() {
            return code;
        }

        /**
         * The state that a {@link #code} stands for.
         *
         * @throws IllegalArgumentException where no state has this code
         */
        public static State ofCode(String code) {
            for (State state : values()) {
                if (state.code.equals(code)) {
                    return state;
                }
            }
            throw new IllegalArgumentException("unknown dead-letter state: " + code);
        }
    }

    /**
     * An attempt to deliver the message.
     *
     * @param zone zone of the route; empty where it is not known any more
     * @param outcome null while it is not known
     */
    public record Attempt(String route, String zone, long sentAtMicros, AttemptOutcome outcome) {
        /** Whether the attempt took effect, as far as its outcome proves it. */
        public ExecutionCertainty certainty() {
            return ExecutionCertainty.of(outcome);
        }
    }

    /**
     * An operator's confirmation that the destination did not process the message.
     *
     * @param by name of the operator
     * @param attempts number of attempts that it covers, counted from the first
     * @param atMicros when it was given
     */
    public record Confirmation(String by, String reason, int attempts, long atMicros) {}

    /** Whether the message took effect, as far as the outcomes of all attempts prove it. */
    public ExecutionCertainty certainty() {
        return attempts.stream().map(Attempt::certainty).max(Enum::compareTo).orElse(ExecutionCertainty.NOT_EXECUTED);
    }

    /** The attempts that may have taken effect and that no confirmation covers. */
    public List<Attempt> unconfirmedAttempts() {
        int confirmed = confirmation == null ? 0 : Math.min(confirmation.attempts(), attempts.size());
        return attempts.subList(confirmed, attempts.size()).stream()
                .filter(attempt -> attempt.certainty() == ExecutionCertainty.UNKNOWN)
                .toList();
    }
}
