package loftflow.journal;

import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;

/** A change to an open message that a record of the journal contains. */
sealed interface MessageUpdate {
    /** An attempt was about to be sent. */
    record AttemptStarted(int number, String route, long sentAtMicros) implements MessageUpdate {}

    /** The outcome of an attempt became known. */
    record AttemptEnded(int number, AttemptOutcome outcome) implements MessageUpdate {}

    /** The completion was decided and is yet to be acknowledged. */
    record CompletionDecided(Message.Completion completion) implements MessageUpdate {}

    /** The message is done: it needs no further attempt or notice. */
    record Done() implements MessageUpdate {}
}
