package pipitstage.relay;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import pipitstage.Policy;

/** A message that a client handed in, and how far its delivery has come. Times are the {@link Clock}'s. */
final class Message {
    /** What a client handed in; {@code tenant} and {@code key} may be null. */
    record Content(String callId, String requestClass, String tenant, String key, long deadline,
            int destination, byte[] body) { }

    /** How a message that is not delivered ends. */
    record End(boolean refused, long retryIn) { }

    /** One attempt; {@code result} stays null while nothing is known. */
    static final class Attempt {
        final Message message;
        final int number;
        final String route;
        final long sentAt;
        Policy.Result result;

        private Attempt(Message message, int number, String route, long sentAt) {
            this.message = message;
            this.number = number;
            this.route = route;
            this.sentAt = sentAt;
        }
    }

    /** Number in this relay's journal. */
    final long number;
    final Content content;
    final List<Attempt> attempts = new ArrayList<>();
    /** Where the client that handed the message in waits; null once it has its answer. */
    ClientReply client;
    End end;
    /** The timer that ends the message should the module leave it open. */
    Future<?> endWatch;
    /** Nothing more is owed. */
    boolean over;
    private int out;

    Message(long number, Content content) {
        this.number = number;
        this.content = content;
    }

    Attempt addAttempt(String route, long sentAt) {
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

    /** The answer that a client waits for after it has handed a message in. */
    interface ClientReply {
        void taken();

        void refused(long retryIn);

        void failed();
    }
}
