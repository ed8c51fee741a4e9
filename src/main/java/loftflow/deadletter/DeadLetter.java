package loftflow.deadletter;

import java.util.List;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;

/**
 * A message that could not be delivered. Times are wall-clock time in microseconds since the epoch.
 *
 * @param id id in the store, greater than 0; 0 before it is stored
 * @param content the message, with its original deadline
 * @param storedAtMicros time at which its delivery ended
 * @param reason short description of the last outcome
 * @param clientReply the reply that its client received
 * @param state current state
 * @param dueMicros time at which it is next considered for redrive; {@link #NEVER_DUE} if only an operator can
 *     redrive it
 * @param confirmation the latest confirmation by an operator; null if there is none
 * @param redrives number of redrives so far
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
    /** Due time of a dead letter that is never redriven automatically. */
    public static final long NEVER_DUE = Long.MAX_VALUE;

    /** State of a dead letter. */
    public enum State {
        /** Waiting in the store. */
        STORED("KEPT"),
        /** Being redriven by the engine. */
        REDRIVING("RESENDING"),
        /** Delivered. */
        DELIVERED("DELIVERED"),
        /** Discarded by an operator. */
        DISCARDED("DISCARDED");

        private final String code;

        State(String code) {
            this.code = code;
        }

        /** Returns the stable name of this state in the database and, in lower case, in the admin protocol. */
        public String code() {
            return code;
        }

        /**
         * Returns the state with the given {@link #code}.
         *
         * @throws IllegalArgumentException if no state has this code
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
     * @param zone zone of the route; empty if it is no longer known
     * @param outcome null while unknown
     */
    public record Attempt(String route, String zone, long sentAtMicros, AttemptOutcome outcome) {
        /** Returns whether the attempt was executed, as far as its outcome proves it. */
        public ExecutionCertainty certainty() {
            return ExecutionCertainty.of(outcome);
        }
    }

    /**
     * An operator's confirmation that the destination did not process the message.
     *
     * @param by name of the operator
     * @param attempts number of attempts covered, counted from the first
     * @param atMicros time of the confirmation
     */
    public record Confirmation(String by, String reason, int attempts, long atMicros) {}

    /** Returns whether the message was executed, as far as the outcomes of all attempts prove it. */
    public ExecutionCertainty certainty() {
        return attempts.stream().map(Attempt::certainty).max(Enum::compareTo).orElse(ExecutionCertainty.NOT_EXECUTED);
    }

    /** Returns the attempts that may have been executed and that no confirmation covers. */
    public List<Attempt> unconfirmedAttempts() {
        int confirmedCount = confirmation == null ? 0 : Math.min(confirmation.attempts(), attempts.size());
        return attempts.subList(confirmedCount, attempts.size()).stream()
                .filter(attempt -> attempt.certainty() == ExecutionCertainty.UNKNOWN)
                .toList();
    }
}
