package loftflow.experiment.history;

import java.util.ArrayList;
import java.util.List;

/**
 * One message of a client with everything that happened to it: the first submission, resubmissions after rejections,
 * and the calls that carried it. Times are in microseconds since the start of the run; -1 means never.
 */
public final class MessageHistory {
    private static final long NEVER = -1;

    /** The last outcome of a submission that its client knows of. */
    public enum ClientOutcome {
        /** No response yet. */
        PENDING("NOTHING"),
        /** The relay has accepted the message. */
        ACCEPTED("TAKEN"),
        /** The relay has rejected the message, at submission or in a completion notice. */
        REJECTED("REFUSED"),
        /** Delivery has failed. */
        FAILED("FAILED"),
        /** The client's connection broke before a response: the message may or may not have been accepted. */
        CONNECTION_LOST("CUT");

        private final String code;

        ClientOutcome(String code) {
            this.code = code;
        }

        /** The name in printed reports. */
        public String code() {
            return code;
        }
    }

    /** The response of an endpoint to a call. */
    public enum Response {
        /** No response was sent, or it was lost. */
        NO_RESPONSE("NONE"),
        /** The message was delivered. */
        DELIVERED("DONE"),
        /** The call failed; the message may have been executed. */
        ERROR("FAULT"),
        /** The endpoint was at capacity and executed nothing. */
        REJECTED("FULL"),
        /** No connection could be established. */
        CONNECT_FAILED("UNREACHED");

        private final String code;

        Response(String code) {
            this.code = code;
        }

        /** The name in printed reports. */
        public String code() {
            return code;
        }
    }

    /**
     * A call that carried the message.
     *
     * @param sentAtMicros when the relay sent it
     * @param arrivedAtMicros when it reached the endpoint; -1 where it never did
     * @param executed whether the message took effect there, whatever the response; false for a repeat that was dropped
     *     by its idempotency key
     */
    public record Call(
            int relay, int endpoint, long sentAtMicros, long arrivedAtMicros, boolean executed, Response response) {}

    private final int classIndex;
    private final int tenant;
    private final int partner;
    private final int relay;
    private final long submittedAtMicros;
    private final long deadlineMicros;
    private final List<Call> calls = new ArrayList<>(2);
    private int submissions;
    private long lastSubmittedAtMicros;
    private long completedAtMicros = NEVER;
    private ClientOutcome clientOutcome = ClientOutcome.PENDING;
    private long deliveredAtMicros = NEVER;

    /**
     * Creates the history of a message that has not been submitted yet.
     *
     * @param classIndex index of its message class in the scenario
     * @param tenant index of its tenant; -1 for none
     * @param partner number of the partner that it is for
     * @param relay number of the relay that it is submitted to
     * @param submittedAtMicros time of the first submission
     * @param deadlineMicros deadline of the first submission
     */
    public MessageHistory(
            int classIndex, int tenant, int partner, int relay, long submittedAtMicros, long deadlineMicros) {
        this.classIndex = classIndex;
        this.tenant = tenant;
        this.partner = partner;
        this.relay = relay;
        this.submittedAtMicros = submittedAtMicros;
        this.deadlineMicros = deadlineMicros;
    }

    public int classIndex() {
        return classIndex;
    }

    public int tenant() {
        return tenant;
    }

    public int partner() {
        return partner;
    }

    public int relay() {
        return relay;
    }

    /** Time of the first submission. */
    public long submittedAtMicros() {
        return submittedAtMicros;
    }

    /** Deadline of the last submission. */
    public long deadlineMicros() {
        return deadlineMicros + (submissions > 1 ? lastSubmittedAtMicros - submittedAtMicros : 0);
    }

    /** Records a submission, the first one or a repeated one. */
    public void recordSubmission(long nowMicros) {
        submissions++;
        lastSubmittedAtMicros = nowMicros;
        clientOutcome = ClientOutcome.PENDING;
        completedAtMicros = NEVER;
    }

    /** Number of submissions so far. */
    public int submissions() {
        return submissions;
    }

    /** Records that the client was notified of acceptance. */
    public void recordAccepted() {
        clientOutcome = ClientOutcome.ACCEPTED;
    }

    /** Records that the client was notified of a rejection or failure. */
    public void recordCompletion(long nowMicros, ClientOutcome outcome) {
        completedAtMicros = nowMicros;
        clientOutcome = outcome;
    }

    /** Records that the client's connection broke before a response. */
    public void recordConnectionLost() {
        clientOutcome = ClientOutcome.CONNECTION_LOST;
    }

    /** When the completion of the last submission was reported; -1 where none was. */
    public long completedAtMicros() {
        return completedAtMicros;
    }

    /** The last outcome that the client was notified of. */
    public ClientOutcome clientOutcome() {
        return clientOutcome;
    }

    /** Adds a call that has come to its end. */
    public void recordCall(Call call) {
        calls.add(call);
    }

    /** Every call that carried the message, in the order in which the calls ended. */
    public List<Call> calls() {
        return calls;
    }

    /** Records that an endpoint has confirmed delivery; only the first confirmation counts. */
    public void recordDelivery(long nowMicros) {
        if (deliveredAtMicros < 0) {
            deliveredAtMicros = nowMicros;
        }
    }

    /** When the first confirmation of delivery was sent; -1 where none was. */
    public long deliveredAtMicros() {
        return deliveredAtMicros;
    }

    /** True if delivery was confirmed before the deadline and the client was not notified of anything else. */
    public boolean isDelivered() {
        return deliveredAtMicros >= 0
                && clientOutcome != ClientOutcome.REJECTED
                && clientOutcome != ClientOutcome.FAILED
                && deliveredAtMicros <= deadlineMicros();
    }
}
