package loftflow.deduplication;

/**
 * Detects messages that a client submits more than once. A listener looks up the id of a message before it accepts the
 * message, and adds the id before it acknowledges the message. All methods must be called on the event loop.
 */
public interface Deduplicator {
    /** Retains no ids and treats every message as new. */
    Deduplicator NONE = new Deduplicator() {
        @Override
        public boolean contains(String id) {
            return false;
        }

        @Override
        public boolean hasCapacity() {
            return true;
        }

        @Override
        public void add(String id) {}
    };

    /** Returns true if a message with this id was accepted within the window. */
    boolean contains(String id);

    /** Returns false if no more ids can be retained; messages that require deduplication must not be accepted then. */
    boolean hasCapacity();

    /** Retains the id of an accepted message. When this method returns, the id outlasts the process. */
    void add(String id);
}
