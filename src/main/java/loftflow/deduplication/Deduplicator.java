package loftflow.deduplication;

/** What a front asks of the memory of what was taken on. */
public interface Deduplicator {
    /** Remembers nothing: every message is new. */
    Deduplicator NOTHING = new Deduplicator() {
        @Override
        public boolean contains(String id) {
            return false;
        }

        @Override
        public boolean hasRoom() {
            return true;
        }

        @Override
        public void add(String id) {}
    };

    /** True where a message of that id was taken on within the span. */
    boolean contains(String id);

    /** False where no more can be remembered, so that nothing may be taken on that must not be taken on twice. */
    boolean hasRoom();

    /** A message of that id is taken on; it outlasts the process when this returns. */
    void add(String id);
}
