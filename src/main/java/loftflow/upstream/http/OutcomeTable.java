package loftflow.upstream.http;

import loftflow.policy.api.AttemptOutcome;
import loftflow.protocol.HostProtocol;

/**
 * Maps complete responses of hosts to the outcomes of the attempts in a call (PROTOCOL, "Relays to hosts").
 *
 * <table>
 * <caption>Failures without a complete response, which {@link UpstreamCall} maps itself</caption>
 * <tr><td>no connection, or connection lost before the request was written</td><td>CONNECT_FAILED</td></tr>
 * <tr><td>connection lost after the request was written</td><td>RESET</td></tr>
 * <tr><td>malformed or unterminated response</td><td>ERROR</td></tr>
 * <tr><td>no response before the timeout</td><td>TIMEOUT</td></tr>
 * </table>
 */
final class OutcomeTable {
    /**
     * The outcome of an attempt and its effect on the message.
     *
     * @param attemptOutcome the outcome of the attempt
     * @param isMessageCompleted whether the message needs no further attempt
     */
    record Outcome(AttemptOutcome attemptOutcome, boolean isMessageCompleted) {
        boolean isProvenNotExecuted() {
            return attemptOutcome.isProvenNotExecuted();
        }
    }

    private static final Outcome DELIVERED = new Outcome(AttemptOutcome.OK, true);
    /** The message was withdrawn or its deadline has passed. */
    private static final Outcome EXPIRED = new Outcome(AttemptOutcome.NOT_SENT, true);
    /** The attempt never ran, and the host is not overloaded. */
    private static final Outcome NOT_SENT = new Outcome(AttemptOutcome.NOT_SENT, false);
    /** The attempt never ran because the host is overloaded. */
    private static final Outcome REJECTED = new Outcome(AttemptOutcome.REJECTED, false);
    /** The attempt may have run. */
    private static final Outcome ERROR = new Outcome(AttemptOutcome.ERROR, false);

    private static final int STATUS_TOO_MANY_MESSAGES = 413;

    private OutcomeTable() {}

    /**
     * Returns the outcome of the attempt of a single-message call, by the status of its complete response.
     *
     * @param isConcurrencyLimited whether a 503 was caused by the number of this relay's own concurrent calls
     */
    static Outcome ofStatus(int status, boolean isConcurrencyLimited) {
        return switch (status) {
            case 200 -> DELIVERED;
            case 410 -> EXPIRED;
            case 429 -> REJECTED;
            case 503 -> isConcurrencyLimited ? NOT_SENT : REJECTED;
            case 400, 504 -> NOT_SENT;
            default -> ERROR;
        };
    }

    /**
     * Returns the outcome of all attempts of a batch whose complete response reports no message states. Only a state
     * completes a message of a batch, so a status that completes a single message is mapped to an error.
     */
    static Outcome ofBatchStatus(int status, boolean isConcurrencyLimited) {
        if (status == STATUS_TOO_MANY_MESSAGES) {
            return NOT_SENT;
        }
        Outcome outcome = ofStatus(status, isConcurrencyLimited);
        return outcome.isMessageCompleted() ? ERROR : outcome;
    }

    /** Returns the outcome of one message of a batch, by the state that the response reports for it. */
    static Outcome ofMessageState(String state) {
        return switch (state) {
            case HostProtocol.STATE_DELIVERED -> DELIVERED;
            case HostProtocol.STATE_REJECTED -> REJECTED;
            case HostProtocol.STATE_EXPIRED -> EXPIRED;
            case HostProtocol.STATE_ATTEMPTS_EXHAUSTED -> NOT_SENT;
            default -> ERROR;
        };
    }

    /** Returns the outcome of a probe, by the status of its complete response. */
    static AttemptOutcome ofProbeStatus(int status) {
        return switch (status) {
            case 200 -> AttemptOutcome.OK;
            case 429, 503 -> AttemptOutcome.REJECTED;
            default -> AttemptOutcome.ERROR;
        };
    }
}
