package loftflow.deadletter;

import java.util.function.Consumer;
import java.util.function.Function;

/** The way to a {@link DeadLetterStore} that must not be waited for: a queue with a bound. */
public interface DeadLetterStoreQueue {
    /**
     * Does something with the shelf, in order, and tells the result on the event loop.
     *
     * @param then not called where the task failed; the failure has been told to staff
     * @param failed called instead, on the event loop
     * @return false where the queue is full; nothing will be done then
     */
    <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed);
}
