package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
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

    /**
     * An attempt without an outcome.
     *
     * @param timeoutAtMicros the time at which the relay stops waiting for the response
     * @param latestArrivalMicros the latest time at which the host may receive the attempt
     */
    private record PendingAttempt(
            Message.Attempt attempt, long timeoutAtMicros, long latestArrivalMicros, Future<?> timeout) {}

    private final UpstreamCallOwner owner;
    private final long startedAtMicros;
    /**
     * The earliest deadline of the call's messages, which applies to the whole call. A host drops the call at that
     * time, so trusting a batch response that reports delivery afterwards could lose messages with a later deadline. As
     * a consequence, all messages of a slow batch time out together with the one that has the least time left.
     */
    private final long deadlineMicros;
    /** The latest deadline of the call's messages. */
    private final long latestDeadlineMicros;

    private final int sizeBytes;
    /** The path of a probe; null for a call that carries messages. */
    private final String probePath;

    private final Map<Message.Attempt, PendingAttempt> pendingAttempts = new LinkedHashMap<>();
    private final boolean isBatch;
    /** Whether repeating any of the call's attempts is harmless. */
    private final boolean mayRepeat;

    private final Future<?> probeTimeout;
    private CallConnection connection;
    private boolean isSent;
    private boolean isProbeCompleted;
    private CallResponse response = new CallResponse();
    /** The timed-out attempt whose late response is awaited; null if there is none. */
    private Message.Attempt lateAttempt;

    /** The attempts that the status of the response ended as delivered or as not executed without naming them. */
    private List<Message.Attempt> attemptsEndedByStatus = List.of();
    /** The attempts that the response ended as not executed, by its status or by naming them. */
    private final List<Message.Attempt> rejectedAttempts = new ArrayList<>();
    /** The ids of all messages that were sent. */
    private Set<String> sentIds = Set.of();

    /** Creates a call for one or more attempts, and starts their timeouts. */
    UpstreamCall(UpstreamCallOwner owner, List<UpstreamClient.OutboundAttempt> outboundAttempts) {
        this.owner = owner;
        startedAtMicros = owner.nowMicros();
        probePath = null;
        probeTimeout = null;
        isBatch = outboundAttempts.size() > 1;
        mayRepeat = outboundAttempts.stream().allMatch(UpstreamClient.OutboundAttempt::mayRepeat);
        deadlineMicros = outboundAttempts.stream()
                .mapToLong(outbound -> outbound.attempt().message().content().deadlineMicros())
                .min()
                .orElse(startedAtMicros);
        latestDeadlineMicros = outboundAttempts.stream()
                .mapToLong(outbound -> outbound.attempt().message().content().deadlineMicros())
                .max()
                .orElse(startedAtMicros);
        sizeBytes = outboundAttempts.stream()
                .mapToInt(outbound -> outbound.attempt().message().content().body().length)
                .sum();
        for (UpstreamClient.OutboundAttempt outbound : outboundAttempts) {
            Message.Attempt attempt = outbound.attempt();
            long timeoutMicros = Math.min(outbound.timeoutMicros(), deadlineMicros - startedAtMicros);
            Future<?> timeout = owner.schedule(timeoutMicros, () -> abandon(attempt, AttemptOutcome.TIMEOUT));
            long timeoutAtMicros = startedAtMicros + timeoutMicros;
            pendingAttempts.put(
                    attempt, new PendingAttempt(attempt, timeoutAtMicros, outbound.latestArrivalMicros(), timeout));
        }
    }

    /** Creates a probe, and starts its timeout. */
    UpstreamCall(UpstreamCallOwner owner, String probePath, long timeoutMicros) {
        this.owner = owner;
        startedAtMicros = owner.nowMicros();
        deadlineMicros = startedAtMicros + timeoutMicros;
        latestDeadlineMicros = deadlineMicros;
        sizeBytes = 0;
        this.probePath = probePath;
        isBatch = false;
        mayRepeat = true;
        probeTimeout = owner.schedule(timeoutMicros, this::onProbeTimeout);
    }

    private void onProbeTimeout() {
        readPending();
        if (!isProbeCompleted) {
            abandonCall(AttemptOutcome.TIMEOUT);
        }
    }

    /** Returns whether the call carries several messages, whose states are reported one by one in its response. */
    boolean isBatch() {
        return isBatch;
    }

    /** Returns whether the call carries no messages. */
    boolean isProbe() {
        return probePath != null;
    }

    long startedAtMicros() {
        return startedAtMicros;
    }

    /**
     * Ends the attempts whose latest arrival is not after the given time as not sent. By then, their destination may
     * have discarded the idempotency key.
     */
    void endAttemptsPastLatestArrival(long arrivalMicros) {
        List.copyOf(pendingAttempts.values()).stream()
                .filter(pending -> arrivalMicros >= pending.latestArrivalMicros())
                .forEach(pending -> endAttempt(pending.attempt(), AttemptOutcome.NOT_SENT, false));
    }

    /** Returns the earliest of the latest arrivals of its attempts; a probe has no bound. */
    long latestArrivalMicros() {
        return pendingAttempts.values().stream()
                .mapToLong(PendingAttempt::latestArrivalMicros)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the latest deadline of its messages, or the end of a probe's timeout. */
    long latestDeadlineMicros() {
        return latestDeadlineMicros;
    }

    /** Returns the total size of the messages' bodies. */
    int sizeBytes() {
        return sizeBytes;
    }

    /** Returns until when its response is awaited. */
    long latestTimeoutMicros() {
        return pendingAttempts.values().stream()
                .mapToLong(PendingAttempt::timeoutAtMicros)
                .max()
                .orElse(deadlineMicros);
    }

    /** Returns whether a rejection has to be proven, because another attempt does harm if this one was executed. */
    boolean mustProveRejection() {
        return !mayRepeat && !isCompleted();
    }

    /** Returns whether every attempt of this call, or its probe, has an outcome. */
    boolean isCompleted() {
        return isProbe() ? isProbeCompleted : pendingAttempts.isEmpty();
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
            return RequestFactory.createProbe(owner.authority(), probePath);
        }
        sentIds = pendingAttempts.keySet().stream()
                .map(attempt -> attempt.message().content().messageId())
                .collect(Collectors.toUnmodifiableSet());
        FullHttpRequest request = isBatch
                ? RequestFactory.createBatch(owner.authority(), pendingAttempts.keySet())
                : createSingleRequest();
        long leftMillis = Math.max(0, latestTimeoutMicros() - owner.nowMicros()) / MICROS_PER_MILLI;
        request.headers().set(HostProtocol.TIMEOUT_MILLIS_HEADER, leftMillis);
        return request;
    }

    private FullHttpRequest createSingleRequest() {
        Message.Attempt attempt = pendingAttempts.keySet().iterator().next();
        return RequestFactory.createSingle(owner.authority(), attempt.message().content());
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
                attemptsEndedByStatus = List.of(delivered);
                owner.onLateDelivery(delivered);
            }
        }
    }

    /** Ends a call whose response is malformed or does not complete. The host may have executed the call. */
    void onMalformedResponse(int code) {
        Log.line("upstream: malformed response route=" + owner.route() + " status=" + code + " attempts="
                + pendingAttempts.size());
        response.discardReport();
        onStatusLine(code);
        end(AttemptOutcome.ERROR);
    }

    /**
     * Appends a chunk of the response body.
     *
     * @return false if the body exceeds its maximum size
     */
    boolean onBody(ByteBuf chunk) {
        return response.appendBody(chunk);
    }

    /** Forgets a complete response that is not the one to this call, and awaits another one. */
    void ignoreResponse() {
        response = new CallResponse();
    }

    /** Decodes the message states in the complete response to a batch. */
    void readStates() {
        if (isBatch && response.isOk()) {
            response.readStates(owner.route());
        }
    }

    /**
     * Returns whether the complete response names only messages of this call, none of which an earlier response on the
     * connection named, so that it can't be the response to another call.
     */
    boolean isNamedInResponse() {
        return !response.namedIds().isEmpty()
                && sentIds.containsAll(response.namedIds())
                && response.namedIds().stream().noneMatch(connection::hasRejected);
    }

    /** Returns whether the complete response to a batch reports delivery without naming any of its messages. */
    boolean isUnnamedInBatchResponse() {
        return isBatch && response.isOk() && Collections.disjoint(response.namedIds(), sentIds);
    }

    /** Returns whether the complete response names messages of other calls alone. */
    boolean isResponseOfAnotherCall() {
        return isUnnamedInBatchResponse() && !response.namedIds().isEmpty();
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
        return !attemptsEndedByStatus.isEmpty();
    }

    /** Ends the call according to its complete response. */
    void onResponseComplete() {
        if (lateAttempt != null) {
            onStatusLine(response.status());
        } else if (isProbe()) {
            onProbeResponse();
        } else if (isBatch && isPastDeadline()) {
            end(AttemptOutcome.TIMEOUT);
        } else if (isBatch && response.isOk()) {
            endEachByReportedState(true);
            // Messages that the response does not mention may have been executed.
            end(AttemptOutcome.ERROR);
        } else {
            OutcomeTable.Outcome outcome = outcomeOfStatus();
            endAllByStatus(outcome.attemptOutcome(), outcome.isMessageCompleted());
        }
    }

    private void endAllByStatus(AttemptOutcome outcome, boolean isMessageCompleted) {
        boolean isCertain = outcome == AttemptOutcome.OK || outcome.isProvenNotExecuted();
        if (!pendingAttempts.isEmpty() && isCertain) {
            attemptsEndedByStatus = List.copyOf(pendingAttempts.keySet());
        }
        if (outcome.isProvenNotExecuted()) {
            rejectedAttempts.addAll(pendingAttempts.keySet());
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
        if (isBatch && response.isOk() && !isPastDeadline()) {
            endEachByReportedState(false);
        }
        onStatusLine(response.status());
        end(AttemptOutcome.ERROR);
        List<Message.Attempt> disproved = List.copyOf(rejectedAttempts);
        rejectedAttempts.clear();
        disproved.forEach(owner::onOutcomeDisproved);
    }

    /**
     * Corrects the outcome that was taken from a response, or ends the call if it has none yet: another response may be
     * its own. The call may have been executed.
     */
    void onOutcomeContradicted() {
        response.discardReport();
        end(AttemptOutcome.ERROR);
        List<Message.Attempt> disproved = attemptsEndedByStatus;
        attemptsEndedByStatus = List.of();
        rejectedAttempts.removeAll(disproved);
        disproved.forEach(owner::onOutcomeDisproved);
    }

    private void onProbeResponse() {
        response.readReportInBody();
        endProbe(OutcomeTable.ofProbeStatus(response.status()));
    }

    /**
     * Returns whether the deadline of the call has passed. Its timers may not have run yet, because the event loop
     * reads sockets before it runs the timers that are due in the same iteration.
     */
    private boolean isPastDeadline() {
        return owner.nowMicros() >= deadlineMicros;
    }

    /** Ends each attempt by its state; a state proves no rejection if the response is not known to be whole. */
    private void endEachByReportedState(boolean isWhole) {
        for (Message.Attempt attempt : new ArrayList<>(pendingAttempts.keySet())) {
            String messageId = attempt.message().content().messageId();
            String state = response.state(messageId);
            OutcomeTable.Outcome outcome = OutcomeTable.ofMessageState(state);
            boolean mayProve = isWhole && (mayRepeat || !connection.hasRejected(messageId));
            if (outcome.isProvenNotExecuted() && !mayProve) {
                endAttempt(attempt, AttemptOutcome.ERROR, false);
                continue;
            }
            if (outcome.isProvenNotExecuted()) {
                connection.onRejected(messageId);
                rejectedAttempts.add(attempt);
            }
            endAttempt(attempt, outcome.attemptOutcome(), outcome.isMessageCompleted());
        }
    }

    /** Ends a call whose connection was lost before the response was complete. */
    void onConnectionLost() {
        owner.closeIdle();
        end(isSent ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    /** Ends every attempt that has no outcome yet, or the probe, with the given one. */
    void end(AttemptOutcome outcome) {
        endAll(outcome, false);
    }

    private void endAll(AttemptOutcome outcome, boolean isMessageCompleted) {
        if (isProbe()) {
            endProbe(outcome);
        }
        for (Message.Attempt attempt : new ArrayList<>(pendingAttempts.keySet())) {
            endAttempt(attempt, outcome, isMessageCompleted);
        }
    }

    private void endAttempt(Message.Attempt attempt, AttemptOutcome outcome, boolean isMessageCompleted) {
        PendingAttempt pending = pendingAttempts.remove(attempt);
        if (pending != null) {
            pending.timeout().cancel(false);
            owner.onAttemptCompleted(
                    attempt, outcome, isMessageCompleted, response.retryAfterMicros(), response.report());
        }
    }

    private void endProbe(AttemptOutcome outcome) {
        if (!isProbeCompleted) {
            isProbeCompleted = true;
            probeTimeout.cancel(false);
            owner.onProbeCompleted(this, outcome, response.retryAfterMicros(), response.report());
        }
    }

    /**
     * Stops waiting for one attempt, unless its response has already been received. With the last attempt of the call,
     * the connection is closed as well, so that the host does not continue to count the call as open, unless a late
     * response is awaited.
     */
    void abandon(Message.Attempt attempt, AttemptOutcome outcome) {
        readPending();
        if (!pendingAttempts.containsKey(attempt)) {
            return;
        }
        if (pendingAttempts.size() == 1) {
            abandonCall(outcome);
        } else {
            // Once the call has a connection, the message is sent with the rest of the batch and may be executed.
            endAttempt(attempt, connection == null ? AttemptOutcome.CONNECT_FAILED : outcome, false);
        }
    }

    /** Reads and applies a response that the kernel received while the event loop was busy, or that is held. */
    private void readPending() {
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
        Message.Attempt timedOut =
                awaitsLateResponse ? pendingAttempts.keySet().iterator().next() : null;
        end(isSent ? outcome : AttemptOutcome.CONNECT_FAILED);
        owner.closeIdle();
        if (awaitsLateResponse) {
            lateAttempt = timedOut;
            connection.awaitLateResponse();
        } else {
            connection.abandon();
        }
    }
}
