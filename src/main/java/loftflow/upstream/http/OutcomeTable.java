package loftflow.upstream.http;

import loftflow.policy.api.AttemptOutcome;
import loftflow.protocol.HostProtocol;

/**
 * The table of outcomes (PROTOCOL, "Relays to hosts"): which response means what for the attempts of a call.
 *
 * <table>
 * <caption>Failures without a complete response, which {@link UpstreamCall} maps itself</caption>
 * <tr><td>no connection, or the connection broke before the request was written</td><td>CONNECT_FAILED</td></tr>
 * <tr><td>the connection broke after that</td><td>RESET</td></tr>
 * <tr><td>the response is malformed or does not end</td><td>ERROR</td></tr>
 * <tr><td>no response in time</td><td>TIMEOUT</td></tr>
 * </table>
 */
final class OutcomeTable {
    /**
     * The outcome of an attempt.
     *
     * @param attempt what became of the attempt
     * @param isMessageCompleted true where nothing more is owed for the message
     */
    record Outcome(AttemptOutcome attempt, boolean isMessageCompleted) {}

    private static final Outcome DELIVERED = new Outcome(AttemptOutcome.OK, true);
    /** The message was withdrawn or is past its deadline. */
    private static final Outcome EXPIRED = new Outcome(AttemptOutcome.NOT_SENT, true);
    /** The attempt never ran, and the host is not overloaded. */
    private static final Outcome NOT_SENT = new Outcome(AttemptOutcome.NOT_SENT, false);
    /** The attempt never ran, as the host is overloaded. */
    private static final Outcome REJECTED = new Outcome(AttemptOutcome.REJECTED, false);
    /** The attempt may have run. */
    private static final Outcome ERROR = new Outcome(AttemptOutcome.ERROR, false);

    private OutcomeTable() {}

    /**
     * The outcome of every attempt of a call whose response is complete.
     *
     * @param isConcurrencyLimited whether a 503 was due to this relay's own number of concurrent calls
     */
    static Outcome ofStatus(int status, boolean isConcurrencyLimited) {
        return switch (status) {
            case 200 -> DELIVERED;
            case 410 -> EXPIRED;
            case 429 -> REJECTED;
            case 503 -> isConcurrencyLimited ? NOT_SENT : REJECTED;
            case 400, 404, 413, 504 -> NOT_SENT;
            default -> ERROR;
        };
    }

    /**
     * The outcome of every attempt of a batch whose response is complete and holds no states. A message ends by
     * its state alone, so a status that ends one proves nothing for a batch.
     */
    static Outcome ofBatchStatus(int status, boolean isConcurrencyLimited) {
        Outcome outcome = ofStatus(status, isConcurrencyLimited);
        return outcome.isMessageCompleted() ? ERROR : outcome;
    }

    /** The outcome of one message of a batch, by the state that the response reports for it. */
    static Outcome ofMessageState(String state) {
        return switch (state) {
            case HostProtocol.STATE_DELIVERED -> DELIVERED;
            case HostProtocol.STATE_REJECTED -> REJECTED;
            case HostProtocol.STATE_EXPIRED -> EXPIRED;
            case HostProtocol.STATE_ATTEMPTS_EXHAUSTED -> NOT_SENT;
            default -> ERROR;
        };
    }

    /** The outcome of a probe whose response is complete. */
    static AttemptOutcome ofProbeStatus(int status) {
        return switch (status) {
            case 200 -> AttemptOutcome.OK;
            case 429, 503 -> AttemptOutcome.REJECTED;
            default -> AttemptOutcome.ERROR;
        };
    }
}
