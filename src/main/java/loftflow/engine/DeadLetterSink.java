package loftflow.engine;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/**
 * The port to the dead-letter store, which may redrive its messages with {@link DeliveryEngine#redrive}. To be called
 * on the event loop. An implementation acknowledges {@link #store} and {@link #onRedriveEnded} with
 * {@link DeliveryEngine#onDeadLetterStored}, during the call or later.
 */
public interface DeadLetterSink extends EndpointListListener {
    /** The sink of a relay without a dead-letter store: accepts and rejects nothing. */
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
            throw new IllegalStateException("there is no dead-letter store");
        }

        @Override
        public void onMessageResumed(Message message) {}

        @Override
        public void onRedriveEnded(Message message) {
            throw new IllegalStateException("there is no dead-letter store to redrive from");
        }

        @Override
        public void onOutcomeLearned(Message.Attempt attempt) {}

        @Override
        public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> endpoints) {}
    };

    /** Returns whether this message, which was accepted towards its client, is to be stored if it is not delivered. */
    boolean accepts(Message message);

    /** Returns whether new messages of this class are to be rejected because the store has no capacity for them. */
    boolean rejects(Message.Content content);

    /** Stores a failed message; {@link DeliveryEngine#onDeadLetterStored} is called once it is durable. */
    void store(Message message);

    /** Called when a message was resumed from the journal, before any other call for that message. */
    void onMessageResumed(Message message);

    /**
     * Called when a redrive ended; {@link DeliveryEngine#onDeadLetterStored} is called once its result is durable.
     */
    void onRedriveEnded(Message message);

    /** Called when an attempt's outcome arrived after its message had ended or been stored. */
    void onOutcomeLearned(Message.Attempt attempt);
}
