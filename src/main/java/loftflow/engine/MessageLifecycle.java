package loftflow.engine;

import loftflow.policy.api.CompletionAcknowledged;
import loftflow.policy.api.MessageWithdrawn;

/**
 * Completes messages: decides and notifies the completion, stores dead letters and removes the message.
 *
 * <p>A message is open until its completion is decided. A completion to be notified is set as
 * {@link Message#completion()}, and the message is done once every notice of it is acknowledged; a message without a
 * notice is marked {@link Message#isDone()} at once.
 */
final class MessageLifecycle {
    /** The time after its deadline at which a message that the policy left open is failed. */
    private static final long OVERDUE_GRACE_MICROS = 200_000;
    /** The time after the deadline at which a completion is notified even if it can't be recorded. */
    private static final long MAX_NOTICE_DELAY_MICROS = 100_000;
    /** Interval between checks whether a completion has been recorded. */
    private static final long RECORD_CHECK_MICROS = 20_000;

    private static final Message.Completion FAILED = new Message.Completion(Message.Completion.Kind.FAILED, 0);

    private final EngineContext context;
    private final RequestClassRegistry requestClasses;
    private final MessageTable messages;
    private final PolicyEventQueue events;
    private final EndedMessages endedMessages;

    MessageLifecycle(
            EngineContext context,
            RequestClassRegistry requestClasses,
            MessageTable messages,
            PolicyEventQueue events,
            EndedMessages endedMessages) {
        this.context = context;
        this.requestClasses = requestClasses;
        this.messages = messages;
        this.events = events;
        this.endedMessages = endedMessages;
    }

    /**
     * Starts the timer that fails a message after its deadline if the policy leaves it open, which can happen after an
     * exception in a round.
     */
    void startOverdueTimer(Message message) {
        long nowMicros = context.nowMicros();
        long dueMicros = Math.max(nowMicros, message.content().deadlineMicros()) + OVERDUE_GRACE_MICROS;
        message.setOverdueTimer(
                context.timers().schedule(dueMicros - nowMicros, () -> failOverdue(message, dueMicros)));
    }

    /** Fails an overdue message; the log line shows whether the event loop was late or the policy left it open. */
    private void failOverdue(Message message, long dueMicros) {
        long nowMicros = context.nowMicros();
        context.log("engine: message overdue message=" + message.content().messageId() + " pastDeadlineMillis="
                + (nowMicros - message.content().deadlineMicros()) / 1000 + " timerLateMillis="
                + (nowMicros - dueMicros) / 1000 + " attempts=" + message.attemptCount());
        endUndelivered(message.number(), FAILED);
    }

    /** Fails an open message, which may or may not have been executed. */
    void fail(long number) {
        endUndelivered(number, FAILED);
    }

    /**
     * Rejects an open message that is proven not executed.
     *
     * @param retryAfterMicros microseconds after which the client may send it again; 0 if not known
     */
    void reject(long number, long retryAfterMicros) {
        endUndelivered(number, new Message.Completion(Message.Completion.Kind.REJECTED, retryAfterMicros));
    }

    /** Ends a message without delivery; has no effect if it is no longer open. */
    private void endUndelivered(long number, Message.Completion completion) {
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

    /** Reports the completion in the answer that the client still waits for; no notice follows. */
    private void answerClient(Message message, Message.Completion completion) {
        message.complete(completion);
        Message.ClientReply clientReply = message.takeClientReply();
        boolean isRecorded = closeWithoutNotice(message);
        // A message that a kill would bring back must not be sent again by its client as well.
        if (completion.isRejected() && isRecorded) {
            clientReply.rejected(completion.retryAfterMicros());
        } else {
            clientReply.failed();
        }
    }

    private void notifyUndelivered(Message message, Message.Completion completion) {
        // A dead letter may be redriven, so its client must not send it again: its completion is always "failed".
        endedMessages.add(message.content(), false, context.nowMicros());
        boolean isDeadLetter = context.deadLetterSink().accepts(message);
        boolean isRecorded = decideCompletion(message, isDeadLetter ? FAILED : completion);
        notifyOnceRecorded(message, isRecorded, () -> notifyCompletion(message));
    }

    /**
     * Runs a notice once the completion is recorded, because a kill would otherwise bring the message back after its
     * client was notified; if the journal can't be written for too long, shortly after the deadline, when a message
     * that is brought back is not sent.
     */
    private void notifyOnceRecorded(Message message, boolean isRecorded, Runnable notice) {
        boolean mayWait = context.nowMicros() < message.content().deadlineMicros() + MAX_NOTICE_DELAY_MICROS;
        if (!isRecorded && context.journal().hasUnwrittenRecords() && mayWait) {
            context.timers().schedule(RECORD_CHECK_MICROS, () -> notifyOnceRecorded(message, false, notice));
        } else {
            notice.run();
        }
    }

    /** Notifies a decided completion, and stores a failed message that the dead-letter sink accepts. */
    void notifyCompletion(Message message) {
        boolean isDeadLetter = message.completion().kind() == Message.Completion.Kind.FAILED
                && context.deadLetterSink().accepts(message);
        message.expectAcknowledgements(isDeadLetter ? 2 : 1);
        if (isDeadLetter) {
            context.deadLetterSink().store(message);
        }
        context.completionNotifier().notifyCompletion(message);
    }

    /**
     * Ends a message for which the upstream needs no further attempt: notifies its completion if the client requested a
     * reply, and closes it without a notice otherwise.
     */
    void finish(Message message, boolean isDelivered) {
        endedMessages.add(message.content(), isDelivered, context.nowMicros());
        if (message.content().reply() == null) {
            closeWithoutNotice(message);
            return;
        }
        Message.Completion.Kind kind =
                isDelivered ? Message.Completion.Kind.DELIVERED : Message.Completion.Kind.REJECTED;
        boolean isRecorded = decideCompletion(message, new Message.Completion(kind, 0));
        notifyOnceRecorded(
                message, isRecorded, () -> context.completionNotifier().notifyCompletion(message));
    }

    /** Closes a message that needs no further attempt and no notice; returns whether the journal has recorded it. */
    boolean closeWithoutNotice(Message message) {
        // Until it fires or is cancelled, the timer keeps the message and its body reachable.
        message.cancelOverdueTimer();
        message.markDone();
        messages.decrementOpenCount();
        boolean isRecorded = context.journal().recordDone(message);
        removeIfSettled(message);
        return isRecorded;
    }

    /** Closes a message whose client has left before its answer. */
    void closeWithdrawn(Message message) {
        message.markWithdrawn();
        closeWithoutNotice(message);
    }

    /**
     * Removes a message if it is done and has no attempt in flight. The id of one that was withdrawn is free again only
     * if it was not executed: a request that comes again with it must not be executed once more.
     */
    void removeIfSettled(Message message) {
        messages.removeIfSettled(message);
        if (message.isWithdrawn() && !message.hasAttemptsInFlight() && message.mayHaveBeenExecuted()) {
            endedMessages.add(message.content(), message.isDelivered(), context.nowMicros());
        }
    }

    /** Ends a redrive; the dead-letter sink reads the result from the attempts of the message. */
    void endRedrive(Message message) {
        decideCompletion(message, FAILED);
        context.deadLetterSink().onRedriveEnded(message);
    }

    /** Decides a completion that is to be acknowledged; returns whether the journal has recorded it. */
    private boolean decideCompletion(Message message, Message.Completion completion) {
        message.complete(completion);
        message.cancelOverdueTimer();
        messages.decrementOpenCount();
        return context.journal().recordCompletion(message);
    }

    /** Implements {@link DeliveryEngine#cancelRedrive}. */
    void cancelRedrive(Message message) {
        if (message.isOpen()) {
            events.add(new MessageWithdrawn(message.number()));
            endRedrive(message);
        }
    }

    /** Called when the completion notifier or the dead-letter sink has acknowledged a completion. */
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
