package loftflow.engine;

import java.util.List;
import loftflow.policy.api.EndpointListKind;

/**
 * The port to the store of undeliverable messages, which may redrive them by {@link DeliveryEngine#redrive}. To be
 * called on the event loop. {@link DeliveryEngine#onDeadLetterStored} acknowledges {@link #store} and
 * {@link #onRedriveEnded}, during the call or later.
 */
public interface DeadLetterSink extends EndpointListListener {
    /** Stores nothing. */
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

    /** True where this message, whose client was notified of its acceptance, is to be stored if it ends undelivered. */
    boolean accepts(Message message);

    /** True where new messages of this class are to be rejected, since the store has no capacity for them. */
    boolean rejects(Message.Content content);

    /** Stores a message that ended; {@link DeliveryEngine#onDeadLetterStored} is called once it is durable. */
    void store(Message message);

    /** A message was resumed from the journal; called before any other method for that message. */
    void onMessageResumed(Message message);

    /** A redrive ended; {@link DeliveryEngine#onDeadLetterStored} is called once its result is durable. */
    void onRedriveEnded(Message message);

    /** An outcome was learned after the message of the attempt had ended or been stored. */
    void onOutcomeLearned(Message.Attempt attempt);
}
