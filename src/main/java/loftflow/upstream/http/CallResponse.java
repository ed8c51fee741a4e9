package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Set;
import loftflow.json.MalformedInputException;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;
import loftflow.protocol.HostProtocol;

/** What has been received of the response to a call: its head, its body and the message states in it. */
final class CallResponse {
    /** The maximum size of a body. */
    private static final int MAX_BODY_BYTES = 64 << 10;
    /** The maximum back-off; longer requested back-offs are capped. */
    private static final long MAX_RETRY_AFTER_MILLIS = 3_600_000;

    private static final long MICROS_PER_MILLI = 1000;
    private static final String WHOLE_MILLIS_PATTERN = "\\d{1,9}";

    private int status;
    private LimitReport report = LimitReport.NONE;
    private long retryAfterMicros;
    private boolean isConcurrencyLimited;
    private final ByteBuf body = Unpooled.buffer(0, MAX_BODY_BYTES);
    /** Whether the body is stored; that of any other response means nothing. */
    private final boolean isBodyUsed;

    private int bodySizeBytes;
    private ReportedStates states = ReportedStates.NONE;

    /**
     * Creates a response of which nothing has been received.
     *
     * @param isBodyUsed whether the body of a response with status 200 has a meaning
     */
    CallResponse(boolean isBodyUsed) {
        this.isBodyUsed = isBodyUsed;
    }

    /** Returns the back-off that a response requests, in microseconds; 0 for none. */
    static long retryAfterMicros(HttpResponse response) {
        String millis = response.headers().get(HostProtocol.RETRY_AFTER_MILLIS_HEADER);
        if (millis == null || !millis.matches(WHOLE_MILLIS_PATTERN)) {
            return 0;
        }
        return Math.min(MAX_RETRY_AFTER_MILLIS, Long.parseLong(millis)) * MICROS_PER_MILLI;
    }

    /** Reads the requested back-off, which applies whatever becomes of the rest of the response. */
    void readRetryAfter(HttpResponse response) {
        retryAfterMicros = retryAfterMicros(response);
    }

    /** Reads the rest of the head. */
    void readHead(HttpResponse response) {
        status = response.status().code();
        report = LoadReportParser.parse(response.headers().get(HostProtocol.LOAD_REPORT_HEADER));
        isConcurrencyLimited = HostProtocol.CONCURRENCY_LIMITED.equals(
                response.headers().get(HostProtocol.CONCURRENCY_LIMITED_HEADER));
    }

    /**
     * Appends a chunk of the body.
     *
     * @return false if the body exceeds its maximum size
     */
    boolean appendBody(ByteBuf chunk) {
        bodySizeBytes += chunk.readableBytes();
        if (bodySizeBytes > MAX_BODY_BYTES) {
            return false;
        }
        if (isBodyUsed && isOk()) {
            body.writeBytes(chunk);
        }
        return true;
    }

    /** Returns the heap memory of the body that is stored, in bytes. */
    int heldBytes() {
        return body.capacity();
    }

    private void discardBody() {
        body.clear().capacity(0);
    }

    /**
     * Decodes the message states in the body of a response to a batch; a malformed body has none.
     *
     * @param sentIds the ids of the messages of the call
     */
    void readStates(String route, Set<String> sentIds) {
        try {
            states = BatchCodec.decodeStates(text(), sentIds);
        } catch (IOException | MalformedInputException e) {
            Log.line("upstream: malformed batch response route=" + route + " cause=" + e.getMessage());
        }
        discardBody();
    }

    private String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    void setStatus(int code) {
        status = code;
    }

    int status() {
        return status;
    }

    boolean isOk() {
        return status == HttpResponseStatus.OK.code();
    }

    /** Returns the back-off that it requests, in microseconds; 0 for none. */
    long retryAfterMicros() {
        return retryAfterMicros;
    }

    LimitReport report() {
        return report;
    }

    /** Ignores the load report of a response that is malformed or may belong to another call. */
    void discardReport() {
        report = LimitReport.NONE;
    }

    /** Reads the load report in the body of a response to a probe, unless its head has one. */
    void readReportInBody() {
        if (isOk() && report.equals(LimitReport.NONE)) {
            report = LoadReportParser.parse(text());
        }
        discardBody();
    }

    /** Returns what its status means for the messages of a call. */
    OutcomeTable.Outcome outcome(boolean isBatch) {
        return isBatch
                ? OutcomeTable.ofBatchStatus(status, isConcurrencyLimited)
                : OutcomeTable.ofStatus(status, isConcurrencyLimited);
    }

    /** Returns the ids of the messages of the call whose states it reports. */
    Set<String> namedIds() {
        return Collections.unmodifiableSet(states.byMessageId().keySet());
    }

    /** Returns whether it reports states of messages that are not of the call. */
    boolean namesOthers() {
        return states.namesOthers();
    }

    /** Returns what the reported state of a message means; one that is not reported may have been executed. */
    OutcomeTable.Outcome reportedOutcome(String messageId) {
        return OutcomeTable.ofMessageState(states.byMessageId().getOrDefault(messageId, HostProtocol.STATE_FAILED));
    }

    /** Returns whether it names a message as delivered. */
    boolean reportsDelivery(String messageId) {
        return reportedOutcome(messageId).attemptOutcome() == AttemptOutcome.OK;
    }
}
