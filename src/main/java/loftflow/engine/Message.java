package loftflow.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loftflow.policy.api.AttemptOutcome;

/**
 * A message that a client handed in, and how far its delivery has come. Times are the {@link Clock}'s, in
 * microseconds. Not safe for use by several threads: everything about a message happens on the event loop.
 */
public final class Message {
    /**
     * Where the end of a message is to be told, whatever it is.
     *
     * @param listener the front that tells it
     * @param queue the name that its client listens by
     * @param correlationId what the client knows its message by; may be null
     */
    public record Reply(String listener, String queue, String correlationId) {}

    /**
     * What a client handed in; {@code tenant} and {@code key} may be null.
     *
     * @param reply null where the client asked for none, and hears of ends other than delivery by
     *     {@link CompletionNotifier}' usual way
     * @param orderingKey what order is kept by where that is another than the key; null where it is not
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
        /** A message whose order, where its class keeps one, is that of its key. */
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

        /** A message whose client asked for no reply. */
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
     * How a message ends, where its end is to be told.
     *
     * @param retryAfterMicros microseconds after which a refused one may be handed in again; 0 where that is not known
     */
    public record Completion(Kind kind, long retryAfterMicros) {
        /** What an end is: delivered, refused and never run, or failed with what became of it untold. */
        public enum Kind {
            FAILED,
            REJECTED,
            DELIVERED
        }

        /** An end that is told as failed, or as refused with a time to come back. */
        public Completion(boolean isRejected, long retryAfterMicros) {
            this(isRejected ? Kind.REJECTED : Kind.FAILED, retryAfterMicros);
        }

        /** The word by which it is told (PROTOCOL, ends). */
        public String word() {
            return switch (kind) {
                case FAILED -> "dead";
                case REJECTED -> "bounced";
                case DELIVERED -> "done";
            };
        }

        /** True where it never ran, and may be handed in again. */
        public boolean isRejected() {
            return kind == Kind.REJECTED;
        }
    }

    /** One attempt; {@code result} stays null while nothing is known. */
    public static final class Attempt {
        final Message message;
        final int number;
        final String route;
        final long sentAtMicros;
        AttemptOutcome outcome;

        private Attempt(Message message, int number, String route, long sentAt) {
            this.message = message;
            this.number = number;
            this.route = route;
            this.sentAtMicros = sentAt;
        }

        public Message message() {
            return message;
        }

        /** How many attempts came before it. */
        public int number() {
            return number;
        }

        public String route() {
            return route;
        }

        public long sentAtMicros() {
            return sentAtMicros;
        }

        /** How it ended, or null while nothing is known. */
        public AttemptOutcome outcome() {
            return outcome;
        }

        /** Takes in how it ended. */
        public void outcome(AttemptOutcome known) {
            outcome = known;
        }
    }

    /** Number in this relay's journal. */
    final long number;

    final Content content;
    final List<Attempt> attempts = new ArrayList<>();
    /** Where the client that handed the message in waits; null once it has its answer. */
    ClientReply client;

    Completion completion;
    /** The timer that ends the message should the module leave it open. */
    Timers.Timer endWatch;
    /** Nothing more is owed. */
    boolean over;
    /** A restart has found it. */
    boolean resumed;
    /** How many have still to hear how it ended. */
    int owed = 1;

    private final long deadLetterId;
    private int out;

    /** A message with the number that it has in this relay's journal. */
    public Message(long number, Content content) {
        this(number, content, 0);
    }

    /** A message that was kept as an entry of the {@link DeadLetterSink} and is sent again; 0 for one from a client. */
    public Message(long number, Content content, long entry) {
        this.number = number;
        this.content = content;
        this.deadLetterId = entry;
    }

    /** The entry that this message sends again; 0 where a client handed it in. */
    public long deadLetterId() {
        return deadLetterId;
    }

    /** True where some attempt is known to have taken effect. */
    public boolean isDelivered() {
        return attempts.stream().anyMatch(attempt -> attempt.outcome == AttemptOutcome.OK);
    }

    public long number() {
        return number;
    }

    public Content content() {
        return content;
    }

    /** Every attempt so far, the first one first. */
    public List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** How it ends, or null where that is not decided, or not to be told. */
    public Completion completion() {
        return completion;
    }

    /** Takes in how it ends. */
    public void complete(Completion decided) {
        completion = decided;
    }

    /** Adds an attempt that is about to be made, or was made before a restart. */
    public Attempt addAttempt(String route, long sentAt) {
        Attempt attempt = new Attempt(this, attempts.size(), route, sentAt);
        attempts.add(attempt);
        return attempt;
    }

    void attemptStarted() {
        out++;
    }

    void attemptEnded() {
        out--;
    }

    boolean hasAttemptsOut() {
        return out > 0;
    }

    /** The answer that a client waits for after it has handed a message in; exactly one of these is called, once. */
    public interface ClientReply {
        /** Taken on: the relay owes the message its end. */
        void accepted();

        /** Refused: handing it in again is harmless, after so many microseconds where that is above 0. */
        void rejected(long retryIn);

        /** Failed: whether it took effect stays untold. */
        void failed();
    }
}
