package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Set;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.protocol.HostProtocol;

/**
 * A call to a host that carries one message, a batch or a probe. It is written at most once and reports one outcome for
 * each of its attempts. Must be used on the event loop.
 */
final class UpstreamCall {
    private static final long MICROS_PER_MILLI = 1000;

    private final UpstreamCallOwner owner;
    private final long startedAtMicros;
    /** Null for a call that carries messages. */
    private final PendingProbe probe;

    private final PendingAttempts pendingAttempts;
    private final LateDeliveries lateDeliveries;

    private final boolean isBatch;
    private CallConnection connection;
    private boolean isSent;
    private CallResponse response;
    /** The timed-out attempt whose late response is awaited; null if there is none. */
    private Message.Attempt lateAttempt;

    private final RevocableOutcomes revocable = new RevocableOutcomes();
    /** Whether a response to a single message that may be its own was ignored, and reported it as delivered. */
    private boolean hasIgnoredDelivery;

    private final OutstandingMessages outstandingMessages;

    /** Creates a call for one or more attempts, and starts their timeouts. */
    UpstreamCall(UpstreamCallOwner owner, List<UpstreamClient.OutboundAttempt> outboundAttempts) {
        this.owner = owner;
        startedAtMicros = owner.nowMicros();
        probe = null;
        isBatch = outboundAttempts.size() > 1;
        response = new CallResponse(isBatch);
        lateDeliveries = new LateDeliveries(owner);
        pendingAttempts = new PendingAttempts(
                outboundAttempts,
                startedAtMicros,
                (attempt, timeoutMicros) ->
                        owner.schedule(timeoutMicros, () -> abandon(attempt, AttemptOutcome.TIMEOUT)));
        outstandingMessages =
                new OutstandingMessages(pendingAttempts.messageIds(), id -> owner.onNotOutstanding(this, id));
    }

    /** Creates a probe, and starts its timeout. */
    UpstreamCall(UpstreamCallOwner owner, String probePath, long timeoutMicros) {
        this.owner = owner;
        startedAtMicros = owner.nowMicros();
        pendingAttempts = new PendingAttempts(startedAtMicros + timeoutMicros);
        isBatch = false;
        response = new CallResponse(true);
        lateDeliveries = new LateDeliveries(owner);
        probe = new PendingProbe(owner, probePath, owner.schedule(timeoutMicros, this::onProbeTimeout));
        outstandingMessages = new OutstandingMessages(Set.of(), id -> {});
    }

    private void onProbeTimeout() {
        readPending();
        if (!probe.isCompleted()) {
            abandonCall(AttemptOutcome.TIMEOUT);
        }
    }

    /** Returns whether the call carries several messages, whose states are reported one by one in its response. */
    boolean isBatch() {
        return isBatch;
    }

    /** Returns whether the call carries no messages. */
    boolean isProbe() {
        return probe != null;
    }

    long startedAtMicros() {
        return startedAtMicros;
    }

    /**
     * Ends the attempts whose latest arrival is not after the given time as not sent. By then, their destination may
     * have discarded the idempotency key.
     */
    void endAttemptsPastLatestArrival(long arrivalMicros) {
        pendingAttempts
                .pastLatestArrival(arrivalMicros)
                .forEach(attempt -> endAttempt(attempt, AttemptOutcome.NOT_SENT, false));
    }

    /** Ends the attempts whose messages have ended while the call waited for its connection as not sent. */
    void endAttemptsOfEndedMessages() {
        pendingAttempts.list().stream()
                .filter(attempt -> !attempt.message().isOpen())
                .forEach(attempt -> endAttempt(attempt, AttemptOutcome.NOT_SENT, false));
    }

    /** Returns the attempts without an outcome, and the time limits of all its attempts. */
    PendingAttempts pendingAttempts() {
        return pendingAttempts;
    }

    /** Returns the messages that the call may still execute. */
    OutstandingMessages outstandingMessages() {
        return outstandingMessages;
    }

    /** Returns whether a rejection has to be proven, because another attempt does harm if this one was executed. */
    boolean mustProveRejection() {
        return !pendingAttempts.mayRepeat() && !isCompleted();
    }

    /** Returns whether every attempt of this call, or its probe, has an outcome. */
    boolean isCompleted() {
        return isProbe() ? probe.isCompleted() : pendingAttempts.isEmpty();
    }

    /** Returns whether the whole request has been written to the socket. */
    boolean isSent() {
        return isSent;
    }

    /** Binds the call to the connection on which it is sent. */
    void onConnectionAssigned(CallConnection assigned) {
        connection = assigned;
    }

    void onSent() {
        isSent = true;
    }

    /** Creates the request, with the remaining time as its timeout unless it is a probe. */
    FullHttpRequest createRequest() {
        if (isProbe()) {
            return RequestFactory.createProbe(owner.authority(), probe.path());
        }
        lateDeliveries.onSent(pendingAttempts);
        FullHttpRequest request = RequestFactory.createCall(owner.authority(), isBatch, pendingAttempts.list());
        long leftMillis = Math.max(0, pendingAttempts.latestTimeoutMicros() - owner.nowMicros()) / MICROS_PER_MILLI;
        request.headers().set(HostProtocol.TIMEOUT_MILLIS_HEADER, leftMillis);
        return request;
    }

    /**
     * Applies the back-off in a complete response head. It applies even if the rest of the response is truncated,
     * malformed or never completes, and even if the call has been abandoned.
     */
    void onRetryAfter(HttpResponse head) {
        response.readRetryAfter(head);
        if (response.retryAfterMicros() > 0) {
            owner.onRetryAfter(response.retryAfterMicros());
        }
    }

    /** Stores the head of a response, which takes effect once the response is complete. */
    void onHead(HttpResponse head) {
        response.readHead(head);
    }

    /**
     * Applies the status line of a response. Status 200 completes a single message as delivered, even if the rest of
     * the response is malformed or missing.
     */
    void onStatusLine(int code) {
        if (!isProbe() && !isBatch && code == HttpResponseStatus.OK.code()) {
            response.setStatus(code);
            endAllByStatus(AttemptOutcome.OK, true);
            if (lateAttempt != null) {
                Message.Attempt delivered = lateAttempt;
                lateAttempt = null;
                revocable.onEndedByStatus(List.of(delivered));
                owner.onLateDelivery(delivered, true);
            }
        }
    }

    /** Ends a call whose response is malformed or does not complete. The host may have executed the call. */
    void onMalformedResponse(int code) {
        Log.line("upstream: malformed response route=" + owner.route() + " status=" + code + " attempts="
                + pendingAttempts.size());
        response.discardReport();
        onStatusLine(code);
        endWithoutResponse(AttemptOutcome.ERROR);
    }

    /** Returns the heap memory of the body that has been received, in bytes. */
    int responseBodyBytes() {
        return response.heldBytes();
    }

    /**
     * Appends a chunk of the response body.
     *
     * @return false if the body exceeds its maximum size
     */
    boolean onBody(ByteBuf chunk) {
        return response.appendBody(chunk);
    }

    /**
     * Forgets a complete response that names other messages, or equals an earlier one on the connection, and awaits
     * another one.
     */
    void ignoreResponse() {
        hasIgnoredDelivery |= !isBatch && response.isOk();
        response = new CallResponse(isBatch || isProbe());
    }

    /** Decodes the message states in the complete response to a batch. */
    void readStates() {
        if (isBatch && response.isOk()) {
            response.readStates(owner.route(), lateDeliveries.sentIds());
        }
    }

    /**
     * Returns whether the complete response names only messages of this call, none of which an earlier response on the
     * connection named, so that it can't be the response to another call.
     */
    boolean isNamedInResponse() {
        return !response.namedIds().isEmpty()
                && !response.namesOthers()
                && response.namedIds().stream().noneMatch(connection::hasRejected);
    }

    /** Returns whether the complete response to a batch reports delivery without naming any of its messages. */
    boolean isUnnamedInBatchResponse() {
        return isBatch && response.isOk() && response.namedIds().isEmpty();
    }

    /** Returns whether the complete response names messages of other calls alone. */
    boolean isResponseOfAnotherCall() {
        return isUnnamedInBatchResponse() && response.namesOthers();
    }

    /** Returns whether the status of the complete response shows that no message of the call was executed. */
    boolean isRejection() {
        return !isProbe() && outcomeOfStatus().isProvenNotExecuted();
    }

    /** Returns whether the status of the complete response lets the messages of the call be sent again. */
    boolean isRetryableRejection() {
        return isRejection() && !outcomeOfStatus().isMessageCompleted();
    }

    private OutcomeTable.Outcome outcomeOfStatus() {
        return response.outcome(isBatch);
    }

    /** Returns whether a status alone has ended attempts as delivered or as not executed. */
    boolean isEndedByStatus() {
        return revocable.isEndedByStatus();
    }

    /** Ends the call according to its complete response. */
    void onResponseComplete() {
        if (lateAttempt != null) {
            onStatusLine(response.status());
        } else if (isProbe()) {
            onProbeResponse();
        } else if (isBatch && response.isOk()) {
            endEachByReportedState(true);
            // Messages that the response does not mention may have been executed.
            end(AttemptOutcome.ERROR);
        } else if (isBatch && isPastEarliestDeadline()) {
            end(AttemptOutcome.TIMEOUT);
        } else {
            OutcomeTable.Outcome outcome = outcomeOfStatus();
            endAllByStatus(outcome.attemptOutcome(), outcome.isMessageCompleted());
        }
    }

    private void endAllByStatus(AttemptOutcome outcome, boolean isMessageCompleted) {
        boolean isCertain = outcome == AttemptOutcome.OK || outcome.isProvenNotExecuted();
        if (!pendingAttempts.isEmpty() && isCertain) {
            revocable.onEndedByStatus(pendingAttempts.list());
        }
        if (outcome.isProvenNotExecuted()) {
            revocable.onRejected(pendingAttempts.list());
        }
        endAll(outcome, isMessageCompleted);
    }

    /**
     * Ends the call, or corrects its rejections, because bytes follow its complete response: its length may not fit.
     * What it reports as delivered stands, by its first line or by the states in a body that is whole.
     */
    void onSurplusBytes() {
        Log.line("upstream: surplus bytes route=" + owner.route() + " status=" + response.status() + " attempts="
                + pendingAttempts.size());
        response.discardReport();
        if (isBatch && response.isOk()) {
            endEachByReportedState(false);
        }
        onStatusLine(response.status());
        end(AttemptOutcome.ERROR);
        revocable.takeRejected().forEach(owner::onOutcomeDisproved);
    }

    /**
     * Corrects the outcome that was taken from a response, or ends the call if it has none yet: another response may be
     * its own. The call may have been executed.
     */
    void onOutcomeContradicted() {
        response.discardReport();
        end(AttemptOutcome.ERROR);
        revocable.takeEndedByStatus().forEach(owner::onOutcomeDisproved);
    }

    /**
     * Corrects the outcome as {@link #onOutcomeContradicted} does, because a response to no call was received.
     *
     * @param mayBeDelivered whether one of the responses that may be its own reports a delivery, so that a message that
     *     was reported as rejected must not be sent again
     */
    void onContradicted(boolean mayBeDelivered) {
        if (mayBeDelivered && !isBatch) {
            revocable.takeRejected().forEach(attempt -> owner.onLateDelivery(attempt, false));
        }
        onOutcomeContradicted();
    }

    private void onProbeResponse() {
        response.readReportInBody();
        probe.end(this, OutcomeTable.ofProbeStatus(response.status()), response);
    }

    /**
     * Returns whether the deadline of any message has passed. Its timer may not have run yet, because the event loop
     * reads sockets before it runs the timers that are due in the same iteration. A host may drop a whole batch at that
     * time and report its messages as delivered all the same, so a later report ends them but proves no delivery.
     */
    private boolean isPastEarliestDeadline() {
        return owner.nowMicros() >= pendingAttempts.earliestDeadlineMicros();
    }

    /** Ends each attempt by its state; a state proves no rejection if the response is not known to be whole. */
    private void endEachByReportedState(boolean isWhole) {
        boolean isLate = isPastEarliestDeadline();
        for (Message.Attempt attempt : pendingAttempts.list()) {
            OutcomeTable.Outcome outcome =
                    response.reportedOutcome(attempt.message().content().messageId());
            if (outcome.attemptOutcome() == AttemptOutcome.OK) {
                endAttempt(attempt, AttemptOutcome.OK, !isLate);
            } else if (isLate && !outcome.isMessageCompleted()) {
                endAttempt(attempt, AttemptOutcome.TIMEOUT, false);
            } else {
                endByReportedState(attempt, outcome, isWhole);
            }
        }
        lateDeliveries.reportAbandoned(response, !isPastEarliestDeadline());
    }

    /** Reports what its own response, which came once another one had ended the call, names as delivered. */
    void onLateResponse(CallResponse late) {
        if (late.isOk()) {
            late.readStates(owner.route(), lateDeliveries.sentIds());
            lateDeliveries.reportSent(late, !isPastEarliestDeadline());
        }
    }

    private void endByReportedState(Message.Attempt attempt, OutcomeTable.Outcome outcome, boolean isWhole) {
        String messageId = attempt.message().content().messageId();
        boolean mayProve = isWhole && (pendingAttempts.mayRepeat() || !connection.hasRejected(messageId));
        if (outcome.isProvenNotExecuted() && !mayProve) {
            endAttempt(attempt, AttemptOutcome.ERROR, false);
            return;
        }
        if (outcome.isProvenNotExecuted()) {
            connection.onRejected(messageId);
            revocable.onRejected(List.of(attempt));
        }
        endAttempt(attempt, outcome.attemptOutcome(), outcome.isMessageCompleted());
    }

    /** Ends a call whose connection was lost before the response was complete. */
    void onConnectionLost() {
        owner.closeIdle();
        endWithoutResponse(isSent ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    /**
     * Ends a call that no complete response of its own has ended. A message that may have been reported as delivered
     * all the same must not be sent again.
     */
    private void endWithoutResponse(AttemptOutcome outcome) {
        endAll(hasUnprovenDelivery() ? AttemptOutcome.OK : outcome, false);
    }

    private boolean hasUnprovenDelivery() {
        boolean hasBegun = isSent && connection.receivedStatus() == HttpResponseStatus.OK.code();
        return !isProbe() && !isBatch && (hasIgnoredDelivery || hasBegun);
    }

    /** Ends every attempt that has no outcome yet, or the probe, with the given one. */
    void end(AttemptOutcome outcome) {
        endAll(outcome, false);
    }

    private void endAll(AttemptOutcome outcome, boolean isMessageCompleted) {
        if (isProbe()) {
            probe.end(this, outcome, response);
        }
        for (Message.Attempt attempt : pendingAttempts.list()) {
            endAttempt(attempt, outcome, isMessageCompleted);
        }
    }

    private void endAttempt(Message.Attempt attempt, AttemptOutcome outcome, boolean isMessageCompleted) {
        if (pendingAttempts.remove(attempt)) {
            if (connection == null) {
                outstandingMessages.remove(attempt.message().content().messageId());
            }
            owner.onAttemptCompleted(
                    attempt, outcome, isMessageCompleted, response.retryAfterMicros(), response.report());
        }
    }

    /**
     * Stops waiting for one attempt, unless its response has already been received. With the last attempt of the call,
     * the connection is closed as well, so that the host does not continue to count the call as open, unless a late
     * response is awaited.
     */
    void abandon(Message.Attempt attempt, AttemptOutcome outcome) {
        readPending();
        if (!pendingAttempts.contains(attempt)) {
            return;
        }
        if (pendingAttempts.size() == 1) {
            abandonCall(outcome);
        } else {
            endAttempt(attempt, outcomeOfAbandoned(attempt, outcome), false);
        }
    }

    /**
     * Ends the call because one of its messages is to be sent again, unless a response that has arrived ends it. Its
     * other messages may have been executed.
     */
    void endForRepeat(String messageId) {
        readPending();
        // A call that waits for its connection is sent without the messages that have ended.
        if (connection != null && outstandingMessages.contains(messageId)) {
            endWithoutResponse(isSent ? AttemptOutcome.CANCELLED : AttemptOutcome.CONNECT_FAILED);
            connection.close(ConnectionCloseReason.MESSAGE_REPEATED);
        }
    }

    private AttemptOutcome outcomeOfAbandoned(Message.Attempt attempt, AttemptOutcome outcome) {
        if (connection == null) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        // The message is sent with the rest of the batch and may be executed.
        lateDeliveries.onAbandoned(attempt);
        return outcome;
    }

    /** Reads and applies a response that the kernel received while the event loop was busy, or that is held. */
    void readPending() {
        if (connection != null) {
            connection.readAtTimeout();
        }
    }

    /** Abandons the whole call. A request that was not completely written has not been executed. */
    private void abandonCall(AttemptOutcome outcome) {
        if (connection == null) {
            end(owner.removeFromQueue(this));
            return;
        }
        boolean awaitsLateResponse = isSent
                && outcome == AttemptOutcome.TIMEOUT
                && pendingAttempts.size() == 1
                && !isBatch
                && owner.canAwaitLateResponse();
        Message.Attempt timedOut = awaitsLateResponse ? pendingAttempts.list().get(0) : null;
        endWithoutResponse(isSent ? outcome : AttemptOutcome.CONNECT_FAILED);
        owner.closeIdle();
        if (awaitsLateResponse) {
            lateAttempt = timedOut;
            connection.awaitLateResponse();
        } else {
            connection.close(ConnectionCloseReason.CALL_ABANDONED);
        }
    }
}
