package loftflow.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.MessageAccepted;
import loftflow.protocol.CompletionProtocol;

/**
 * A message from a client, and the state of its delivery. Times are those of the {@link Clock}, in microseconds since
 * the epoch. Not thread-safe: to be used on the event loop only.
 */
public final class Message {
    /**
     * The destination of the completion notice, for a client that requested one for every completion.
     *
     * @param listener the name of the listener that sends the notice
     * @param queue the queue that the client consumes
     * @param correlationId the client's own id of the message; may be null
     */
    public record Reply(String listener, String queue, String correlationId) {}

    /**
     * The content of a message as the client sent it.
     *
     * @param messageId unique among the messages in the journal
     * @param requestClass the name of a request class in the settings
     * @param tenant may be null
     * @param key the idempotency key; may be null
     * @param deadlineMicros a delivery after this time counts as no delivery
     * @param body not copied; must not be modified
     * @param reply null if the client requested no reply; {@link CompletionNotifier} then notifies it only of
     *     completions other than delivery
     * @param orderingKey the ordering key; null if it is the same as {@code key}
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
        /** Creates the content of a message that is ordered by its idempotency key if its class is ordered. */
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

        /** Creates the content of a message whose client requested no reply. */
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

        /** Returns whether a client that sends the other content repeats this message; its deadline may differ. */
        boolean isSameMessage(Content other) {
            return messageId.equals(other.messageId)
                    && requestClass.equals(other.requestClass)
                    && Objects.equals(tenant, other.tenant)
                    && Objects.equals(key, other.key)
                    && destination == other.destination
                    && Arrays.equals(body, other.body);
        }
    }

    /**
     * The final result of a message, if its client is to be notified of it.
     *
     * @param retryAfterMicros microseconds after which the client may send a rejected message again; 0 if not known
     */
    public record Completion(Kind kind, long retryAfterMicros) {
        /** The result of a message. */
        public enum Kind {
            /** No delivery is known; the message may or may not have been executed. */
            FAILED,
            /** Proven not executed; the client may send it again. */
            REJECTED,
            /** Delivered before its deadline. */
            DELIVERED
        }

        /** Returns the value of the protocol's {@code result} field. */
        public String result() {
            return switch (kind) {
                case FAILED -> CompletionProtocol.RESULT_FAILED;
                case REJECTED -> CompletionProtocol.RESULT_REJECTED;
                case DELIVERED -> CompletionProtocol.RESULT_DELIVERED;
            };
        }

        /** Returns whether the message is proven not executed and may be sent again. */
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

        /** Returns its index within its message, from 0. */
        public int number() {
            return number;
        }

        public String route() {
            return route;
        }

        public long sentAtMicros() {
            return sentAtMicros;
        }

        /** Returns its outcome, or null while it is not known. */
        public AttemptOutcome outcome() {
            return outcome;
        }

        /** Sets its outcome. */
        public void outcome(AttemptOutcome knownOutcome) {
            outcome = knownOutcome;
        }
    }

    private final long number;
    private final Content content;
    private final long deadLetterId;
    private final List<Attempt> attempts = new ArrayList<>();
    /** Null once the client has been answered. */
    private ClientReply clientReply;

    /** The attempt whose outcome closed the message without a notice; null if there is none. */
    private Attempt closingAttempt;

    private Completion completion;
    private Timers.Timer overdueTimer;
    private boolean isDone;
    private boolean isRepeatAccepted;
    private boolean isResumed;
    private boolean isWithdrawn;
    private int acknowledgementsPending = 1;
    private int attemptsInFlight;

    /**
     * Creates a message from a client.
     *
     * @param number its sequence number in this relay's journal
     */
    public Message(long number, Content content) {
        this(number, content, 0);
    }

    /**
     * Creates a message from a client or a redrive from the dead-letter store.
     *
     * @param deadLetterId the number of its entry in the dead-letter store; 0 for a message from a client
     */
    public Message(long number, Content content, long deadLetterId) {
        this.number = number;
        this.content = content;
        this.deadLetterId = deadLetterId;
    }

    /** Returns the number of the dead-letter entry that this message redrives; 0 for a message from a client. */
    public long deadLetterId() {
        return deadLetterId;
    }

    /** Returns whether this message redrives a dead letter. */
    boolean isRedrive() {
        return deadLetterId != 0;
    }

    /** Returns whether any attempt has the outcome {@link AttemptOutcome#OK}. */
    public boolean isDelivered() {
        return attempts.stream().anyMatch(attempt -> attempt.outcome == AttemptOutcome.OK);
    }

    /** Returns whether any attempt is not proven to have had no effect. */
    boolean mayHaveBeenExecuted() {
        return attempts.stream().anyMatch(attempt -> attempt.outcome == null || !attempt.outcome.isProvenNotExecuted());
    }

    /** Returns its sequence number in this relay's journal. */
    public long number() {
        return number;
    }

    public Content content() {
        return content;
    }

    /** Returns an unmodifiable view of all attempts so far, in the order in which they were added. */
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

    /** Adds an attempt that is about to be sent or that was sent before a restart. */
    public Attempt addAttempt(String route, long sentAtMicros) {
        Attempt attempt = new Attempt(this, attempts.size(), route, sentAtMicros);
        attempts.add(attempt);
        return attempt;
    }

    /** Returns its completion, or null if none has been decided or none is to be notified. */
    public Completion completion() {
        return completion;
    }

    /** Sets its completion. */
    public void complete(Completion decidedCompletion) {
        completion = decidedCompletion;
    }

    /**
     * Returns whether the relay still has to deliver it: its completion is not decided, and it is not done. No attempt
     * of a message that is not open may be sent any more.
     */
    public boolean isOpen() {
        return completion == null && !isDone;
    }

    /** Returns whether it is done: it needs no further attempt or notice, and is to be recorded so in the journal. */
    boolean isDone() {
        return isDone;
    }

    void markDone() {
        isDone = true;
    }

    /** Returns whether this process read it from the journal when it started. */
    boolean isResumed() {
        return isResumed;
    }

    void markResumed() {
        isResumed = true;
    }

    /** Returns whether its client left before its answer, so that it was closed. */
    boolean isWithdrawn() {
        return isWithdrawn;
    }

    void markWithdrawn() {
        isWithdrawn = true;
    }

    /** Sets the client that waits for its answer. */
    void setClientReply(ClientReply waitingClient) {
        clientReply = waitingClient;
    }

    /** Returns whether a repeated request was told that the message is accepted, whatever the first one was told. */
    boolean isRepeatAccepted() {
        return isRepeatAccepted;
    }

    void markRepeatAccepted() {
        isRepeatAccepted = true;
    }

    boolean isClientWaiting() {
        return clientReply != null;
    }

    /** Removes and returns the client that waits for its answer; null if there is none. */
    ClientReply takeClientReply() {
        ClientReply waitingClient = clientReply;
        clientReply = null;
        return waitingClient;
    }

    /** Sets the timer that fails the message if the policy leaves it open past its deadline. */
    void setOverdueTimer(Timers.Timer timer) {
        overdueTimer = timer;
    }

    void cancelOverdueTimer() {
        overdueTimer.cancel();
    }

    /** Sets the number of acknowledgements of its completion that must arrive before it is done. */
    void expectAcknowledgements(int count) {
        acknowledgementsPending = count;
    }

    /** Counts an acknowledgement of its completion; returns whether it was the last one expected. */
    boolean acknowledge() {
        acknowledgementsPending--;
        return acknowledgementsPending == 0;
    }

    Attempt closingAttempt() {
        return closingAttempt;
    }

    void setClosingAttempt(Attempt attempt) {
        closingAttempt = attempt;
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

    /** Returns the event that passes this message to the policy. */
    MessageAccepted toAcceptedEvent() {
        return new MessageAccepted(
                number,
                content.requestClass(),
                content.tenant(),
                content.orderingKey() != null ? content.orderingKey() : content.key(),
                content.deadlineMicros(),
                content.destination());
    }

    /** Receives the answer to a client that has sent a message; exactly one method is called, once. */
    public interface ClientReply {
        /** The message was accepted: the relay is responsible for it from now on. */
        void accepted();

        /**
         * The message was rejected: it was not executed, and sending it again is safe.
         *
         * @param retryAfterMicros microseconds after which to send it again; 0 if not known
         */
        void rejected(long retryAfterMicros);

        /** The message failed: it may or may not have been executed. */
        void failed();
    }
}
