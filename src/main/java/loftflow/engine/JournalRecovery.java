package loftflow.engine;

import java.util.List;
import loftflow.policy.api.CompletionPending;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.PastAttempt;

/** Resumes the messages in the journal when the relay starts. */
final class JournalRecovery {
    private final EngineContext context;
    private final RequestClassRegistry requestClasses;
    private final MessageTable messages;
    private final PolicyEventQueue events;
    private final MessageLifecycle lifecycle;
    private boolean keyWindowsExpired;

    JournalRecovery(
            EngineContext context,
            RequestClassRegistry requestClasses,
            MessageTable messages,
            PolicyEventQueue events,
            MessageLifecycle lifecycle) {
        this.context = context;
        this.requestClasses = requestClasses;
        this.messages = messages;
        this.events = events;
        this.lifecycle = lifecycle;
    }

    /** Reports every past attempt to the policy as sent at time 0, so that its key window has expired. */
    void treatKeyWindowsAsExpired() {
        keyWindowsExpired = true;
    }

    /** Resumes every message that is not done according to the journal, in order of acceptance. */
    void run() {
        List<Message> resumedMessages = context.journal().openMessages();
        logResumed(resumedMessages);
        for (Message message : resumedMessages) {
            resume(message);
        }
    }

    private void logResumed(List<Message> resumedMessages) {
        if (resumedMessages.isEmpty()) {
            return;
        }
        long untried = resumedMessages.stream()
                .filter(message -> message.completion() == null && !message.hasAttempts())
                .count();
        context.log("engine: messages resumed count=" + resumedMessages.size() + " untried=" + untried);
    }

    private void resume(Message message) {
        messages.add(message);
        message.markResumed();
        context.deadLetterSink().onMessageResumed(message);
        if (message.isRedrive() && (message.completion() != null || message.isDelivered())) {
            context.deadLetterSink().onRedriveEnded(message);
        } else if (message.completion() != null) {
            resumeNotification(message);
        } else if (!requestClasses.contains(message)) {
            reopen(message);
            endMessageOfUnknownClass(message);
        } else if (message.isDelivered()) {
            reopen(message);
            endDelivered(message);
        } else {
            reopen(message);
            events.add(new MessageResumed(message.toAcceptedEvent(), pastAttempts(message)));
        }
    }

    private void resumeNotification(Message message) {
        if (requestClasses.isOrdered(message)) {
            events.add(new CompletionPending(message.toAcceptedEvent()));
        }
        lifecycle.notifyCompletion(message);
    }

    /**
     * Ends a message whose delivery is recorded but not its end. It must not be sent again; whether a notice is owed is
     * not known, and one for a delivered message does no harm.
     */
    private void endDelivered(Message message) {
        context.log("engine: resumed message was delivered message="
                + message.content().messageId());
        if (requestClasses.isOrdered(message)) {
            events.add(new CompletionPending(message.toAcceptedEvent()));
        }
        lifecycle.fail(message.number());
    }

    private void reopen(Message message) {
        messages.incrementOpenCount();
        lifecycle.startOverdueTimer(message);
    }

    /**
     * Ends a message whose request class is no longer in the settings: the policy can't process it, and the resulting
     * exception would discard all other events of that round. The message is rejected if all its attempts are proven
     * not executed; otherwise it is failed.
     */
    private void endMessageOfUnknownClass(Message message) {
        context.log("engine: request class unknown message=" + message.content().messageId() + " class="
                + message.content().requestClass());
        boolean isProvenNotExecuted = message.attempts().stream()
                .allMatch(attempt ->
                        attempt.outcome() != null && attempt.outcome().isProvenNotExecuted());
        if (isProvenNotExecuted) {
            lifecycle.reject(message.number(), 0);
        } else {
            lifecycle.fail(message.number());
        }
    }

    private List<PastAttempt> pastAttempts(Message message) {
        return message.attempts().stream()
                .map(attempt -> new PastAttempt(
                        attempt.route(), keyWindowsExpired ? 0 : attempt.sentAtMicros(), attempt.outcome()))
                .toList();
    }
}
