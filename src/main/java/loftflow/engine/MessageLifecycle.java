package loftflow.engine;

import loftflow.policy.api.CompletionAcknowledged;
import loftflow.policy.api.MessageWithdrawn;

/**
 * The end of a message's life: deciding its completion, notifying it, storing dead letters and removing the message.
 *
 * <p>A message is open until its completion is decided, by {@link Message#completion()} where it is to be notified, or
 * by {@link Message#isDone()} where it is not. It is done once every notice of its completion is acknowledged.
 */
final class MessageLifecycle {
    /** A message that the policy leaves open is failed so long after its deadline. */
    private static final long OVERDUE_GRACE_MICROS = 200_000;

    private static final Message.Completion FAILED = new Message.Completion(Message.Completion.Kind.FAILED, 0);

    private final EngineContext context;
    private final RequestClassRegistry requestClasses;
    private final MessageTable messages;
    private final PolicyEventQueue events;

    MessageLifecycle(
            EngineContext context,
            RequestClassRegistry requestClasses,
            MessageTable messages,
            PolicyEventQueue events) {
        this.context = context;
        this.requestClasses = requestClasses;
        this.messages = messages;
        this.events = events;
    }

    /** Fails a message after its deadline should the policy leave it open, as it may after an error in a round. */
    void startOverdueTimer(Message message) {
        long nowMicros = context.nowMicros();
        long dueMicros = Math.max(nowMicros, message.content().deadlineMicros()) + OVERDUE_GRACE_MICROS;
        message.startOverdueTimer(
                context.timers().schedule(dueMicros - nowMicros, () -> failOverdue(message, dueMicros)));
    }

    /** The log line tells a loop that was late from a policy that left the message open. */
    private void failOverdue(Message message, long dueMicros) {
        long nowMicros = context.nowMicros();
        context.log("engine: message overdue message=" + message.content().messageId() + " pastDeadlineMillis="
                + (nowMicros - message.content().deadlineMicros()) / 1000 + " timerLateMillis="
                + (nowMicros - dueMicros) / 1000 + " attempts=" + message.attemptCount());
        end(message.number(), FAILED);
    }

    /** Fails an open message: whether it took effect is not known. */
    void fail(long number) {
        end(number, FAILED);
    }

    /** Rejects an open message, which surely took no effect; see {@link Message.Completion#retryAfterMicros}. */
    void reject(long number, long retryAfterMicros) {
        end(number, new Message.Completion(Message.Completion.Kind.REJECTED, retryAfterMicros));
    }

    /** Ends a message that is still open, without delivery. */
    private void end(long number, Message.Completion completion) {
        Message message = messages.find(number);
        if (message == null || !message.isOpen()) {
            return;
        }
        if (message.isRedrive()) {
            endRedrive(message);
            return;
        }
        if (message.isResumed() && !message.hasAttempts()) {
            logEndedWithoutAttempt(message);
        }
        if (message.isClientWaiting()) {
            answerClient(message, completion);
        } else {
            notifyUndelivered(message, completion);
        }
    }

    private void logEndedWithoutAttempt(Message message) {
        long remainingMillis = (message.content().deadlineMicros() - context.nowMicros()) / 1000;
        context.log("engine: resumed message ended without an attempt message="
                + message.content().messageId() + " remainingMillis=" + remainingMillis);
    }

    /** The client still waits for its first answer, which then carries the completion. */
    private void answerClient(Message message, Message.Completion completion) {
        message.complete(completion);
        Message.ClientReply clientReply = message.takeClientReply();
        closeWithoutNotice(message);
        if (completion.isRejected()) {
            clientReply.rejected(completion.retryAfterMicros());
        } else {
            clientReply.failed();
        }
    }

    private void notifyUndelivered(Message message, Message.Completion completion) {
        // A dead letter is retried from the store, so its client must not send it again: it is reported as failed.
        boolean isDeadLetter = context.deadLetterSink().accepts(message);
        decideCompletion(message, isDeadLetter ? FAILED : completion);
        notifyCompletion(message);
    }

    /** Notifies a decided completion; a failed message that the dead-letter sink accepts is stored as well. */
    void notifyCompletion(Message message) {
        boolean isDeadLetter = message.completion().kind() == Message.Completion.Kind.FAILED
                && context.deadLetterSink().accepts(message);
        message.expectAcknowledgements(isDeadLetter ? 2 : 1);
        if (isDeadLetter) {
            context.deadLetterSink().store(message);
        }
        context.completionNotifier().notifyCompletion(message);
    }

    /** The upstream needs nothing more: notifies the completion where the client asked for a reply, else closes. */
    void finish(Message message, boolean isDelivered) {
        if (message.content().reply() == null) {
            closeWithoutNotice(message);
            return;
        }
        Message.Completion.Kind kind =
                isDelivered ? Message.Completion.Kind.DELIVERED : Message.Completion.Kind.REJECTED;
        decideCompletion(message, new Message.Completion(kind, 0));
        context.completionNotifier().notifyCompletion(message);
    }

    /** Closes a message for which nothing more is owed, not even a notice. */
    void closeWithoutNotice(Message message) {
        // The timer refers to the message, body included, until it fires or is cancelled.
        message.cancelOverdueTimer();
        message.markDone();
        messages.decrementOpenCount();
        context.journal().recordDone(message);
        messages.removeIfSettled(message);
    }

    /** Ends a redriven message; the dead-letter sink reads the result from its attempts. */
    void endRedrive(Message message) {
        decideCompletion(message, FAILED);
        context.deadLetterSink().onRedriveEnded(message);
    }

    /** Decides and records a completion that has still to be acknowledged. */
    private void decideCompletion(Message message, Message.Completion completion) {
        message.complete(completion);
        message.cancelOverdueTimer();
        messages.decrementOpenCount();
        context.journal().recordCompletion(message);
    }

    /** Implements {@link DeliveryEngine#cancelRedrive}. */
    void cancelRedrive(Message message) {
        if (message.isOpen()) {
            events.add(new MessageWithdrawn(message.number()));
            endRedrive(message);
        }
    }

    /** The completion notifier or the dead-letter sink has acknowledged a completion. */
    void acknowledge(Message message) {
        if (message.acknowledge()) {
            message.markDone();
            context.journal().recordDone(message);
            messages.removeIfSettled(message);
            if (requestClasses.isOrdered(message)) {
                events.add(new CompletionAcknowledged(message.number()));
            }
        }
    }
}
