package loftflow.deduplication;

/**
 * Recognizes messages that a client submits again. A listener looks an id up before it accepts a message, and adds it
 * before it acknowledges one. To be called on the event loop.
 */
public interface Deduplicator {
    /** Retains nothing: every message is new. */
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

    /** True where a message of that id was accepted within the window. */
    boolean contains(String id);

    /** False where no more ids can be retained; no message that must not be accepted twice may be accepted then. */
    boolean hasCapacity();

    /** Retains the id of an accepted message; it outlasts the process when this returns. */
    void add(String id);
}
