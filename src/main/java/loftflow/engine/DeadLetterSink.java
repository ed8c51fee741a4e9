package loftflow.engine;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/**
 * The port through which messages that could not be delivered are kept, and come back to be sent again. To be called
 * on the event loop only; {@link DeliveryEngine#kept} answers {@link #keep} and {@link #resent}, then or later.
 */
public interface DeadLetterSink extends EndpointListListener {
    /** Keeps nothing. */
    DeadLetterSink NONE = new DeadLetterSink() {
        @Override
        public boolean takes(Message message) {
            return false;
        }

        @Override
        public boolean refuses(Message.Content content) {
            return false;
        }

        @Override
        public void keep(Message message) {
            throw new IllegalStateException("nothing is kept");
        }

        @Override
        public void resumed(Message message) {}

        @Override
        public void resent(Message message) {
            throw new IllegalStateException("nothing is sent again");
        }

        @Override
        public void learnt(Message.Attempt attempt) {}

        @Override
        public void list(EndpointListKind kind, long version, List<Endpoint> targets) {}
    };

    /** True where a message that its client was told is taken on, and that ends undelivered, is to be kept. */
    boolean takes(Message message);

    /** True where work of that class is refused, since what it might leave could not be kept. */
    boolean refuses(Message.Content content);

    /** Keeps a message that has ended; {@link DeliveryEngine#kept} is called once it outlasts the process there. */
    void keep(Message message);

    /** A restart has brought back a message from the journal, before anything else is told of it. */
    void resumed(Message message);

    /** A message that was sent again has ended; {@link DeliveryEngine#kept} is called once that outlasts the process. */
    void resent(Message message);

    /** More has become known of an attempt whose message has ended or been kept. */
    void learnt(Message.Attempt attempt);
}
