package loftflow.engine;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/**
 * The port through which messages that could not be delivered are kept, and come back to be sent again. To be called
 * on the event loop only; {@link DeliveryEngine#onDeadLetterStored} answers {@link #store} and {@link #onRedriveEnded},
 * then or later.
 */
public interface DeadLetterSink extends EndpointListListener {
    /** Keeps nothing. */
    DeadLetterSink NONE = new DeadLetterSink() {
        @Override
        public boolean accepts(Message message) {
            return false;
        }

        @Override
        public boolean rejects(Message.Content content) {
            return false;
        }

        @Override
        public void store(Message message) {
            throw new IllegalStateException("nothing is kept");
        }

        @Override
        public void onMessageResumed(Message message) {}

        @Override
        public void onRedriveEnded(Message message) {
            throw new IllegalStateException("nothing is sent again");
        }

        @Override
        public void onOutcomeLearned(Message.Attempt attempt) {}

        @Override
        public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> targets) {}
    };

    /** True where a message that its client was told is taken on, and that ends undelivered, is to be kept. */
    boolean accepts(Message message);

    /** True where work of that class is refused, since what it might leave could not be kept. */
    boolean rejects(Message.Content content);

    /**
     * Keeps a message that has ended; {@link DeliveryEngine#onDeadLetterStored} is called once it outlasts the process
     * there.
     */
    void store(Message message);

    /** A restart has brought back a message from the journal, before anything else is told of it. */
    void onMessageResumed(Message message);

    /**
     * A message that was sent again has ended; {@link DeliveryEngine#onDeadLetterStored} is called once that outlasts
     * the process.
     */
    void onRedriveEnded(Message message);

    /** More has become known of an attempt whose message has ended or been kept. */
    void onOutcomeLearned(Message.Attempt attempt);
}
