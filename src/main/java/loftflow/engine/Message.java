package loftflow.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.MessageAccepted;
import loftflow.protocol.CompletionProtocol;

/**
 * A message that a client sent, and the state of its delivery. Times are the {@link Clock}'s, in microseconds since the
 * epoch. Not thread-safe: to be used on the event loop only.
 */
public final class Message {
    /**
     * Where the completion of a message is to be sent, whatever it is.
     *
     * @param listener the name of the listener that sends it
     * @param queue the queue that the client consumes
     * @param correlationId the client's own id of the message; may be null
     */
    public record Reply(String listener, String queue, String correlationId) {}

    /**
     * What a client sent.
     *
     * @param messageId unique among the messages in the journal
     * @param requestClass name of a class in the settings
     * @param tenant may be null
     * @param key idempotency key; may be null
     * @param deadlineMicros a delivery after this time counts as none
     * @param body not copied; must not be changed
     * @param reply null where the client requested none, and is notified of other ends than delivery by
     *     {@link CompletionNotifier}
     * @param orderingKey the ordering key where it is not {@code key}; else null
     */
    public record Content(
            String messageId,
            String requestClass,
            String tenant,
            String key,
            long deadlineMicros,
            int destination,
            byte[] body,
            Reply reply,
            String orderingKey) {
        /** A message that is ordered by its idempotency key, where its class is ordered. */
        public Content(
                String messageId,
                String requestClass,
                String tenant,
                String key,
                long deadlineMicros,
                int destination,
                byte[] body,
                Reply reply) {
            this(messageId, requestClass, tenant, key, deadlineMicros, destination, body, reply, null);
        }

        /** A message whose client requested no reply. */
        public Content(
                String messageId,
                String requestClass,
                String tenant,
                String key,
                long deadlineMicros,
                int destination,
                byte[] body) {
            this(messageId, requestClass, tenant, key, deadlineMicros, destination, body, null);
        }
    }

    /**
     * How a message ends, where that is to be notified.
     *
     * @param retryAfterMicros microseconds after which the client may send a rejected message again; 0 where not known
     */
    public record Completion(Kind kind, long retryAfterMicros) {
        /** What became of the message. */
        public enum Kind {
            /** Not delivered as far as is known; whether it took effect is not known. */
            FAILED,
            /** Surely not executed; the client may send it again. */
            REJECTED,
            /** Delivered before its deadline. */
            DELIVERED
        }

        /** The value of the protocol's {@code result} field. */
        public String result() {
            return switch (kind) {
                case FAILED -> CompletionProtocol.RESULT_FAILED;
                case REJECTED -> CompletionProtocol.RESULT_REJECTED;
                case DELIVERED -> CompletionProtocol.RESULT_DELIVERED;
            };
        }

        /** True where the message was surely not executed and may be sent again. */
        public boolean isRejected() {
            return kind == Kind.REJECTED;
        }
    }

    /** One attempt to deliver a message. */
    public static final class Attempt {
        private final Message message;
        private final int number;
        private final String route;
        private final long sentAtMicros;
        private AttemptOutcome outcome;

        private Attempt(Message message, int number, String route, long sentAtMicros) {
            this.message = message;
            this.number = number;
            this.route = route;
            this.sentAtMicros = sentAtMicros;
        }

        public Message message() {
            return message;
        }

        /** Its index within its message, from 0. */
        public int number() {
            return number;
        }

        public String route() {
            return route;
        }

        public long sentAtMicros() {
            return sentAtMicros;
        }

        /** Its outcome, or null while that is not known. */
        public AttemptOutcome outcome() {
            return outcome;
        }

        /** Sets its outcome. */
        public void outcome(AttemptOutcome known) {
            outcome = known;
        }
    }

    private final long number;
    private final Content content;
    private final long deadLetterId;
    private final List<Attempt> attempts = new ArrayList<>();
    /** Null once the client has its answer. */
    private ClientReply clientReply;

    private Completion completion;
    private Timers.Timer overdueTimer;
    private boolean isDone;
    private boolean isResumed;
    private int acknowledgementsPending = 1;
    private int attemptsInFlight;

    /**
     * A message that a client sent.
     *
     * @param number its sequence number in this relay's journal
     */
    public Message(long number, Content content) {
        this(number, content, 0);
    }

    /**
     * A message that is sent again from the dead-letter store.
     *
     * @param deadLetterId its entry in the store; 0 for a message from a client
     */
    public Message(long number, Content content, long deadLetterId) {
        this.number = number;
        this.content = content;
        this.deadLetterId = deadLetterId;
    }

    /** The dead-letter entry that this message redrives; 0 for a message from a client. */
    public long deadLetterId() {
        return deadLetterId;
    }

    /** True where this message redrives a dead letter. */
    boolean isRedrive() {
        return deadLetterId != 0;
    }

    /** True where an attempt is known to have taken effect. */
    public boolean isDelivered() {
        return attempts.stream().anyMatch(attempt -> attempt.outcome == AttemptOutcome.OK);
    }

    /** Its sequence number in this relay's journal. */
    public long number() {
        return number;
    }

    public Content content() {
        return content;
    }

    /** All attempts so far, the first one first; an unmodifiable view. */
    public List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    int attemptCount() {
        return attempts.size();
    }

    Attempt attempt(int attemptNumber) {
        return attempts.get(attemptNumber);
    }

    /** Adds an attempt that is about to be sent, or was sent before a restart. */
    public Attempt addAttempt(String route, long sentAtMicros) {
        Attempt attempt = new Attempt(this, attempts.size(), route, sentAtMicros);
        attempts.add(attempt);
        return attempt;
    }

    /** How it ends, or null where that is not decided or is not to be notified. */
    public Completion completion() {
        return completion;
    }

    /** Sets how it ends. */
    public void complete(Completion decided) {
        completion = decided;
    }

    /** True until its completion is decided or nothing more is owed for it. */
    boolean isOpen() {
        return completion == null && !isDone;
    }

    /** True once nothing more is owed for it, and the journal records it as done. */
    boolean isDone() {
        return isDone;
    }

    void markDone() {
        isDone = true;
    }

    /** True where this process found it in the journal at its start. */
    boolean isResumed() {
        return isResumed;
    }

    void markResumed() {
        isResumed = true;
    }

    /** Sets the client that waits for its answer. */
    void awaitAnswer(ClientReply waitingClient) {
        clientReply = waitingClient;
    }

    boolean isClientWaiting() {
        return clientReply != null;
    }

    /** Removes and returns the client that waits for its answer, or null. */
    ClientReply takeClientReply() {
        ClientReply waitingClient = clientReply;
        clientReply = null;
        return waitingClient;
    }

    /** Sets the timer that ends the message should the policy leave it open. */
    void startOverdueTimer(Timers.Timer timer) {
        overdueTimer = timer;
    }

    void cancelOverdueTimer() {
        overdueTimer.cancel();
    }

    /** Sets how many acknowledgements of its completion must arrive. */
    void expectAcknowledgements(int count) {
        acknowledgementsPending = count;
    }

    /** Counts an acknowledgement of its completion; true where it was the last one expected. */
    boolean acknowledge() {
        acknowledgementsPending--;
        return acknowledgementsPending == 0;
    }

    void attemptStarted() {
        attemptsInFlight++;
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight > 0;
    }

    /** The event by which the policy learns of this message. */
    MessageAccepted toAcceptedEvent() {
        return new MessageAccepted(
                number,
                content.requestClass(),
                content.tenant(),
                content.orderingKey() != null ? content.orderingKey() : content.key(),
                content.deadlineMicros(),
                content.destination());
    }

    /** The answer that a client waits for after it has sent a message; exactly one method is called, once. */
    public interface ClientReply {
        /** Accepted: the relay is responsible for the message from now on. */
        void accepted();

        /**
         * Rejected: sending it again is safe.
         *
         * @param retryAfterMicros microseconds after which to send it again; 0 where that is not known
         */
        void rejected(long retryAfterMicros);

        /** Failed: whether it took effect is not known. */
        void failed();
    }
}
