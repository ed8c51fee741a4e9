package loftflow.deadletter;

import java.util.function.Consumer;
import java.util.function.Function;

/** Asynchronous access to a {@link DeadLetterStore} through a bounded queue. Called on the event loop. */
public interface DeadLetterStoreQueue {
    /**
     * Queues a task for the store. Tasks run in the order in which they are queued.
     *
     * @param then receives the result, on the event loop; not called where the task fails
     * @param failed called, on the event loop, where the task fails; the failure has been logged
     * @return false where the queue is full; the task is not run then
     */
    <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed);
}
