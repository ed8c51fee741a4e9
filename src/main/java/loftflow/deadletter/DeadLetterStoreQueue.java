package loftflow.deadletter;

import java.util.function.Consumer;
import java.util.function.Function;

/** Asynchronous access to a {@link DeadLetterStore} through a bounded queue. Must be called on the event loop. */
public interface DeadLetterStoreQueue {
    /**
     * Queues a task for the store. Tasks run in the order of submission.
     *
     * @param onResult receives the result on the event loop; not called if the task fails
     * @param onFailure called on the event loop if the task fails, after the failure has been logged
     * @return false if the queue is full; the task is then not run
     */
    <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> onResult, Runnable onFailure);
}
