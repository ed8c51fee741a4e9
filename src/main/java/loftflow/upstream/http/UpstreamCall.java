package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.engine.Message;
import loftflow.engine.UpstreamClient;
import loftflow.json.MalformedInputException;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;
import loftflow.protocol.HostProtocol;

/**
 * One call to a host: for one message, for a batch, or a probe. It is written at most once and reports one outcome for
 * each of its attempts. For use on the event loop only.
 */
final class UpstreamCall {
    /** Owns a call: the connection pool of the host that it goes to. */
    interface Owner {
        String route();

        /** The host's address and port, for the {@code Host} header. */
        String authority();

        /** The time in microseconds, on the clock of message deadlines. */
        long nowMicros();

        /** Schedules a task on the event loop. */
        Future<?> schedule(long delayMicros, Runnable task);

        /**
         * Reports the outcome of an attempt.
         *
         * @param isMessageCompleted whether nothing more is owed for the message
         * @param retryAfterMicros the back-off that the host requested; 0 for none
         */
        void onAttemptCompleted(
                Message.Attempt attempt,
                AttemptOutcome outcome,
                boolean isMessageCompleted,
                long retryAfterMicros,
                LimitReport report);

        /** Reports the outcome of a probe. */
        void onProbeCompleted(UpstreamCall call, AttemptOutcome outcome, long retryAfterMicros, LimitReport report);

        /**
         * Removes a call that is abandoned before it has a connection, and returns its outcome, which says whether the
         * host is the cause.
         */
        AttemptOutcome removeFromQueue(UpstreamCall call);

        /** Reports that the host wants no calls for a time. */
        void onRetryAfter(long retryAfterMicros);

        /** Reports that an attempt that ended as timed out has turned out to be delivered. */
        void onLateDelivery(Message.Attempt attempt);

        /** Returns true where a connection may stay open for the late response of a call. */
        boolean canAwaitLateResponse();

        /** Closes idle connections to the host, as they can no longer be relied on. */
        void closeIdle();
    }

    /** The connection that carries a call. */
    interface Carrier {
        void close();

        /** Stays open for the late response of the current call and carries no other. */
        void awaitLateResponse();

        /** Reads the bytes that the kernel has received and that the event loop has not read yet. */
        void readPending();
    }

    /** The longest back-off that is honored. */
    private static final long MAX_RETRY_AFTER_MILLIS = 3_600_000;

    /** Largest response body that is read. */
    private static final int MAX_RESPONSE_BODY_BYTES = 64 << 10;

    private static final long MICROS_PER_MILLI = 1000;
    private static final String WHOLE_MILLIS_PATTERN = "\\d{1,9}";

    /**
     * An attempt without an outcome.
     *
     * @param timeoutAtMicros when the relay stops waiting for its response
     * @param latestArrivalMicros when the host may receive it at the latest
     */
    private record PendingAttempt(
            Message.Attempt attempt, long timeoutAtMicros, long latestArrivalMicros, Future<?> timeout) {}

    private final Owner owner;
    private final long startedAtMicros;
    /**
     * The deadline of the whole call is the earliest one of its messages. A host drops the call at that time, so a
     * later "delivered" in a batch response proves nothing for the other messages, which would be lost. The cost: in a
     * slow batch, messages that have much time left end together with those that have little.
     */
    private final long deadlineMicros;
    /** The path of a probe; null for a call with attempts. */
    private final String probePath;

    private final Map<Message.Attempt, PendingAttempt> pendingAttempts = new LinkedHashMap<>();
    private final boolean isBatch;
    private final Future<?> probeTimeout;
    private Carrier connection;
    private boolean isSent;
    private boolean isProbeCompleted;
    private int status;
    private LimitReport report = LimitReport.NONE;
    private long retryAfterMicros;
    private boolean isConcurrencyLimited;
    /** The timed-out attempt whose late response is awaited; null where there is none. */
    private Message.Attempt lateAttempt;

    private final ByteBuf responseBody = Unpooled.buffer(0, MAX_RESPONSE_BODY_BYTES);

    /** Creates a call for one or more attempts, and starts their timeouts. */
    UpstreamCall(Owner owner, List<UpstreamClient.OutboundAttempt> outboundAttempts) {
        this.owner = owner;
        startedAtMicros = owner.nowMicros();
        probePath = null;
        probeTimeout = null;
        isBatch = outboundAttempts.size() > 1;
        deadlineMicros = outboundAttempts.stream()
                .mapToLong(outbound -> outbound.attempt().message().content().deadlineMicros())
                .min()
                .orElse(startedAtMicros);
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
    UpstreamCall(Owner owner, String probePath, long timeoutMicros) {
        this.owner = owner;
        startedAtMicros = owner.nowMicros();
        deadlineMicros = startedAtMicros + timeoutMicros;
        this.probePath = probePath;
        isBatch = false;
        probeTimeout = owner.schedule(timeoutMicros, this::onProbeTimeout);
    }

    private void onProbeTimeout() {
        readPending();
        if (!isProbeCompleted) {
            abandonCall(AttemptOutcome.TIMEOUT);
        }
    }

    /** Returns true for a call with several messages, whose ends its response tells one by one. */
    boolean isBatch() {
        return isBatch;
    }

    private boolean isProbe() {
        return probePath != null;
    }

    long startedAtMicros() {
        return startedAtMicros;
    }

    /**
     * Ends, as not sent, the attempts whose latest arrival has passed: their destination may have forgotten the
     * idempotency key by then.
     */
    void endAttemptsPastLatestArrival(long arrivalMicros) {
        List.copyOf(pendingAttempts.values()).stream()
                .filter(pending -> arrivalMicros >= pending.latestArrivalMicros())
                .forEach(pending -> endAttempt(pending.attempt(), AttemptOutcome.NOT_SENT, false));
    }

    /** Returns true where nothing waits for this call's response. */
    boolean isCompleted() {
        return isProbe() ? isProbeCompleted : pendingAttempts.isEmpty();
    }

    /** Returns true once the whole request has been written to the socket. */
    boolean isSent() {
        return isSent;
    }

    /** Binds the call to the connection that carries it. */
    void onConnectionAssigned(Carrier carrier) {
        connection = carrier;
    }

    void onSent() {
        isSent = true;
    }

    /** Builds the request, with the time that is left as its timeout. */
    FullHttpRequest createRequest() {
        if (isProbe()) {
            return RequestFactory.createProbe(owner.authority(), probePath);
        }
        FullHttpRequest request = isBatch
                ? RequestFactory.createBatch(owner.authority(), pendingAttempts.keySet())
                : createSingleRequest();
        long latestTimeoutMicros = pendingAttempts.values().stream()
                .mapToLong(PendingAttempt::timeoutAtMicros)
                .max()
                .orElse(0);
        long leftMillis = Math.max(0, latestTimeoutMicros - owner.nowMicros()) / MICROS_PER_MILLI;
        request.headers().set(HostProtocol.TIMEOUT_MILLIS_HEADER, leftMillis);
        return request;
    }

    private FullHttpRequest createSingleRequest() {
        Message.Attempt attempt = pendingAttempts.keySet().iterator().next();
        return RequestFactory.createSingle(owner.authority(), attempt.message().content());
    }

    /**
     * Applies the back-off in a complete response head. It is binding even where the rest of the response is cut off,
     * malformed or endless, or where the call has been abandoned.
     */
    void onRetryAfter(HttpResponse response) {
        retryAfterMicros = parseRetryAfterMicros(response.headers().get(HostProtocol.RETRY_AFTER_MILLIS_HEADER));
        if (retryAfterMicros > 0) {
            owner.onRetryAfter(retryAfterMicros);
        }
    }

    private static long parseRetryAfterMicros(String millis) {
        if (millis == null || !millis.matches(WHOLE_MILLIS_PATTERN)) {
            return 0;
        }
        return Math.min(MAX_RETRY_AFTER_MILLIS, Long.parseLong(millis)) * MICROS_PER_MILLI;
    }

    /** Stores the head of a response; it takes effect once the response is complete. */
    void onHead(HttpResponse response) {
        status = response.status().code();
        report = LoadReportParser.parse(response.headers().get(HostProtocol.LOAD_REPORT_HEADER));
        isConcurrencyLimited = HostProtocol.CONCURRENCY_LIMITED.equals(
                response.headers().get(HostProtocol.CONCURRENCY_LIMITED_HEADER));
    }

    /** Applies the status line of a response: a single message with status 200 is delivered, whatever follows. */
    void onStatusLine(int code) {
        if (!isProbe() && !isBatch && code == HttpResponseStatus.OK.code()) {
            endAll(AttemptOutcome.OK, true);
            if (lateAttempt != null) {
                Message.Attempt delivered = lateAttempt;
                lateAttempt = null;
                owner.onLateDelivery(delivered);
            }
        }
    }

    /** Ends a call whose response is malformed or does not end: the host may have run it. */
    void onMalformedResponse(int code) {
        Log.line("upstream: malformed response route=" + owner.route() + " status=" + code + " attempts="
                + pendingAttempts.size());
        report = LimitReport.NONE;
        onStatusLine(code);
        end(AttemptOutcome.ERROR);
    }

    /** Appends a chunk of the response's body; returns false where the body exceeds its maximum size. */
    boolean onBody(ByteBuf chunk) {
        if (responseBody.readableBytes() + chunk.readableBytes() > MAX_RESPONSE_BODY_BYTES) {
            return false;
        }
        responseBody.writeBytes(chunk);
        return true;
    }

    /** Ends the call by its complete response. */
    void onResponseComplete() {
        if (lateAttempt != null) {
            onStatusLine(status);
        } else if (isProbe()) {
            onProbeResponse();
        } else if (isBatch && isPastDeadline()) {
            end(AttemptOutcome.TIMEOUT);
        } else if (isBatch && status == HttpResponseStatus.OK.code()) {
            endEachByState();
            // A message that the response leaves out may have run.
            end(AttemptOutcome.ERROR);
        } else {
            OutcomeTable.Outcome outcome = isBatch
                    ? OutcomeTable.ofBatchStatus(status, isConcurrencyLimited)
                    : OutcomeTable.ofStatus(status, isConcurrencyLimited);
            endAll(outcome.attempt(), outcome.isMessageCompleted());
        }
    }

    private void onProbeResponse() {
        if (status == HttpResponseStatus.OK.code() && report.equals(LimitReport.NONE)) {
            report = LoadReportParser.parse(responseBody.toString(StandardCharsets.UTF_8));
        }
        endProbe(OutcomeTable.ofProbeStatus(status));
    }

    /** The response may be read before the timers that are due in the same iteration of the event loop have run. */
    private boolean isPastDeadline() {
        return owner.nowMicros() >= deadlineMicros;
    }

    private void endEachByState() {
        Map<String, String> states;
        try {
            states = BatchCodec.decodeStates(responseBody.toString(StandardCharsets.UTF_8));
        } catch (IOException | MalformedInputException e) {
            Log.line("upstream: malformed batch response route=" + owner.route() + " cause=" + e.getMessage());
            return;
        }
        for (Message.Attempt attempt : new ArrayList<>(pendingAttempts.keySet())) {
            String messageId = attempt.message().content().messageId();
            String state = states.getOrDefault(messageId, HostProtocol.STATE_FAILED);
            OutcomeTable.Outcome outcome = OutcomeTable.ofMessageState(state);
            endAttempt(attempt, outcome.attempt(), outcome.isMessageCompleted());
        }
    }

    /** Ends a call whose connection closed before the response was complete. */
    void onConnectionLost() {
        owner.closeIdle();
        end(isSent ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    /** Ends every attempt that has no outcome yet with the same one. */
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
            owner.onAttemptCompleted(attempt, outcome, isMessageCompleted, retryAfterMicros, report);
        }
    }

    private void endProbe(AttemptOutcome outcome) {
        if (!isProbeCompleted) {
            isProbeCompleted = true;
            probeTimeout.cancel(false);
            owner.onProbeCompleted(this, outcome, retryAfterMicros, report);
        }
    }

    /**
     * Stops waiting for one attempt. With the last attempt the connection closes too, so that the host does not count
     * a call as open for which nobody waits.
     */
    void abandon(Message.Attempt attempt, AttemptOutcome outcome) {
        readPending();
        if (!pendingAttempts.containsKey(attempt)) {
            return;
        }
        if (pendingAttempts.size() == 1) {
            abandonCall(outcome);
        } else {
            // Once the call has a connection, the message is still written with the rest of the batch and may run.
            endAttempt(attempt, connection == null ? AttemptOutcome.CONNECT_FAILED : outcome, false);
        }
    }

    /** Reads a response, or a back-off in it, that was received while the event loop was busy. */
    private void readPending() {
        if (connection != null) {
            connection.readPending();
        }
    }

    /** Abandons the whole call. A request that was not written whole has not run. */
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
            connection.close();
        }
    }
}
