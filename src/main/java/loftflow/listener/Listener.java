package loftflow.listener;

/** A way in for messages, as the relay's end sees it. To be called on the event loop. */
public interface Listener {
    /** Takes nothing new where a client can go elsewhere; what a client has begun is still answered. */
    void drain();

    /** Takes in what has come and lies unread, with connections that are not accepted yet. */
    default void takeIn() {}

    /** True where everything that was begun has its answer. */
    boolean isIdle();

    /** True while something that came whole has no answer yet. */
    boolean isAnswering();

    /** Takes nothing from now on. */
    void stopListening();
}
