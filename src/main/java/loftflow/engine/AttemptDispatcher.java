package loftflow.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.AttemptOutcomeDisproved;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageWithdrawn;

/**
 * Starts attempts and processes their outcomes. An attempt is recorded in the journal before it is sent; at the end of
 * a round, the attempts of that round are sent in one batch per route.
 */
final class AttemptDispatcher {
    private final EngineContext context;
    private final MessageTable messages;
    private final PolicyEventQueue events;
    private final MessageLifecycle lifecycle;
    private final MessageAdmission admission;
    private final RequestClassRegistry requestClasses;
    private final OutstandingAttempts outstanding;
    private final UnrecordedAttempts unrecorded;
    private final Map<String, List<UpstreamClient.OutboundAttempt>> pendingByRoute = new LinkedHashMap<>();
    private int attemptsInFlight;

    AttemptDispatcher(
            EngineContext context,
            MessageTable messages,
            PolicyEventQueue events,
            MessageLifecycle lifecycle,
            MessageAdmission admission,
            RequestClassRegistry requestClasses) {
        this.context = context;
        this.messages = messages;
        this.events = events;
        this.lifecycle = lifecycle;
        this.admission = admission;
        this.requestClasses = requestClasses;
        outstanding = new OutstandingAttempts(context);
        unrecorded = new UnrecordedAttempts(
                context, outbound -> sendBatch(outbound.attempt().route(), List.of(outbound)), this::completeAsNotSent);
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight != 0;
    }

    /**
     * Starts an attempt of an open message, to be sent by the next {@link #sendPending}. Has no effect if the message
     * is no longer in the table or its completion is decided.
     *
     * @param timeoutMicros the attempt's time-out, in microseconds; 0 if only the message's deadline bounds the attempt
     * @param sendWithinMicros if the attempt is not sent within this many microseconds, it ends as not sent; 0 for no
     *     bound
     * @param mayShareCall whether other attempts of the round may travel in the same call
     */
    void start(long number, String route, long timeoutMicros, long sendWithinMicros, boolean mayShareCall) {
        Message message = messages.find(number);
        if (message == null || message.completion() != null) {
            return;
        }
        long nowMicros = context.nowMicros();
        Message.Attempt attempt = message.addAttempt(route, nowMicros);
        message.attemptStarted();
        attemptsInFlight++;
        long remainingMicros = message.content().deadlineMicros() - nowMicros;
        if (remainingMicros <= 0) {
            completeAsNotSent(attempt);
            return;
        }
        UpstreamClient.OutboundAttempt outbound = new UpstreamClient.OutboundAttempt(
                attempt,
                timeoutMicros > 0 ? Math.min(timeoutMicros, remainingMicros) : remainingMicros,
                sendWithinMicros > 0 ? nowMicros + sendWithinMicros : Long.MAX_VALUE,
                requestClasses.mayRepeatAtAnyTime(message),
                mayShareCall);
        // An attempt missing from the journal would be unknown after a restart.
        if (context.journal().recordAttempt(attempt) || outbound.mayRepeat()) {
            pendingByRoute.computeIfAbsent(route, newRoute -> new ArrayList<>()).add(outbound);
        } else {
            unrecorded.add(outbound);
        }
    }

    /** Sends the attempts that were started since the previous call. */
    void sendPending() {
        Map<String, List<UpstreamClient.OutboundAttempt>> batches = new LinkedHashMap<>(pendingByRoute);
        pendingByRoute.clear();
        batches.forEach(this::sendBatch);
    }

    private void sendBatch(String route, List<UpstreamClient.OutboundAttempt> batch) {
        List<UpstreamClient.OutboundAttempt> sendable = new ArrayList<>(batch.size());
        batch.forEach(
                outbound -> outstanding.endBefore(outbound.attempt().message().content()));
        for (UpstreamClient.OutboundAttempt outbound : batch) {
            // A message has ended if its client disconnected before the 202 response was written.
            if (outbound.attempt().message().isOpen()) {
                sendable.add(outbound);
            } else {
                completeAsNotSent(outbound.attempt());
            }
        }
        if (!sendable.isEmpty()) {
            context.upstreamClient().send(route, sendable);
        }
    }

    private void completeAsNotSent(Message.Attempt attempt) {
        onAttemptCompleted(attempt, AttemptOutcome.NOT_SENT, false, 0, LimitReport.NONE);
    }

    /** Cancels the attempt with the given number within its message; has no effect if there is no such attempt. */
    void cancel(long messageNumber, int attemptNumber) {
        Message message = messages.find(messageNumber);
        if (message != null && attemptNumber < message.attemptCount()) {
            unrecorded.cancel(message.attempt(attemptNumber));
            context.upstreamClient().cancel(message.attempt(attemptNumber));
        }
    }

    /** Implements {@link UpstreamClient.ResultListener#onAttemptCompleted}. */
    void onAttemptCompleted(
            Message.Attempt attempt,
            AttemptOutcome outcome,
            boolean messageClosed,
            long retryAfterMicros,
            LimitReport limitReport) {
        Message message = attempt.message();
        attempt.outcome(outcome);
        message.attemptEnded();
        attemptsInFlight--;
        applyOutcome(attempt, messageClosed);
        events.add(new AttemptCompleted(
                message.number(),
                attempt.number(),
                attempt.route(),
                outcome,
                !message.isOpen(),
                retryAfterMicros,
                context.nowMicros() - attempt.sentAtMicros(),
                limitReport));
        lifecycle.removeIfSettled(message);
    }

    /** Ends the message if this outcome decides its completion; otherwise records the outcome in the journal. */
    private void applyOutcome(Message.Attempt attempt, boolean messageClosed) {
        Message message = attempt.message();
        boolean isDelivered = attempt.outcome() == AttemptOutcome.OK;
        boolean isCounted =
                messageClosed && context.nowMicros() <= message.content().deadlineMicros();
        if (isDelivered && !isCounted) {
            // To the client, a delivery that may not be counted is none, but the message must not be sent again.
            context.journal().recordOutcome(attempt);
            lifecycle.fail(message.number());
        } else if (messageClosed && message.isRedrive() && message.isOpen()) {
            context.journal().recordOutcome(attempt);
            lifecycle.endRedrive(message);
        } else if (messageClosed && message.isOpen()) {
            message.setClosingAttempt(attempt);
            lifecycle.finish(message, isDelivered);
        } else if (!message.isDone()) {
            context.journal().recordOutcome(attempt);
            if (message.completion() != null) {
                context.deadLetterSink().onOutcomeLearned(attempt);
            }
        }
    }

    /**
     * Implements {@link UpstreamClient.ResultListener#onOutcomeDisproved}. An open message continues with an attempt
     * that may have been executed; a message that the attempt had closed without a notice is reported as failed.
     */
    void onOutcomeDisproved(Message.Attempt attempt) {
        Message message = attempt.message();
        context.log("engine: outcome disproved message=" + message.content().messageId() + " attempt="
                + attempt.number() + " route=" + attempt.route() + " outcome=" + attempt.outcome());
        if (messages.contains(message) && message.isOpen()) {
            attempt.outcome(AttemptOutcome.ERROR);
            context.journal().recordOutcome(attempt);
            events.add(new AttemptOutcomeDisproved(message.number(), attempt.number()));
        } else if (message.isDone() && message.completion() == null && message.closingAttempt() == attempt) {
            admission.reportAsFailed(attempt);
        }
    }

    private void endLate(Message.Attempt attempt, boolean isCounted) {
        Message message = attempt.message();
        if (isCounted) {
            message.setClosingAttempt(attempt);
            lifecycle.finish(message, true);
        } else {
            lifecycle.fail(message.number());
        }
    }

    /** Implements {@link UpstreamClient.ResultListener#onLateDelivery}. */
    void onLateDelivery(Message.Attempt attempt, boolean isCounted) {
        Message message = attempt.message();
        attempt.outcome(AttemptOutcome.OK);
        if (!messages.contains(message)) {
            context.deadLetterSink().onOutcomeLearned(attempt);
            return;
        }
        context.journal().recordOutcome(attempt);
        if (message.completion() != null) {
            context.deadLetterSink().onOutcomeLearned(attempt);
        } else if (message.isRedrive()) {
            lifecycle.cancelRedrive(message);
        } else if (!message.isDone() && context.nowMicros() <= message.content().deadlineMicros()) {
            // The message has been delivered, so the policy must not start another attempt.
            events.add(new MessageWithdrawn(message.number()));
            endLate(attempt, isCounted);
        }
    }
}
