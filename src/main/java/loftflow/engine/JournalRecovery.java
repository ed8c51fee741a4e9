package loftflow.engine;

import java.util.List;
import loftflow.policy.api.CompletionPending;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.PastAttempt;

/** Resumes the messages that the journal holds when the relay starts. */
final class JournalRecovery {
    private final EngineContext context;
    private final RequestClassRegistry requestClasses;
    private final MessageTable messages;
    private final PolicyEventQueue events;
    private final MessageLifecycle lifecycle;
    private boolean areKeyWindowsExpired;

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

    /** Reports every past attempt to the policy as sent at time 0, so that its idempotency-key window is over. */
    void treatKeyWindowsAsExpired() {
        areKeyWindowsExpired = true;
    }

    /** Resumes every message that the journal holds as not done, in the order accepted. */
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

    private void reopen(Message message) {
        messages.incrementOpenCount();
        lifecycle.startOverdueTimer(message);
    }

    /**
     * Ends a message whose class the settings no longer name: the policy can't process it, and an error would discard
     * all other events of that round. It is rejected where surely no attempt of it was executed, else failed.
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
                        attempt.route(), areKeyWindowsExpired ? 0 : attempt.sentAtMicros(), attempt.outcome()))
                .toList();
    }
}
