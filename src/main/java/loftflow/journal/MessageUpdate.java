package loftflow.journal;

import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;

/** What a record of the journal changes about an open message. */
sealed interface MessageUpdate {
    /** An attempt was about to be sent. */
    record AttemptStarted(int number, String route, long sentAtMicros) implements MessageUpdate {}

    /** The outcome of an attempt became known. */
    record AttemptEnded(int number, AttemptOutcome outcome) implements MessageUpdate {}

    /** The completion was decided, and is still to be reported. */
    record CompletionDecided(Message.Completion completion) implements MessageUpdate {}

    /** Nothing more is owed for the message. */
    record Done() implements MessageUpdate {}
}
