package loftflow.deadletter.store;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.DeadLetterStoreQueue;
import loftflow.log.Log;

/**
 * Runs the tasks of a store on one thread, behind a queue of {@value #QUEUE_CAPACITY} tasks. A task is rejected where
 * the queue is full; the caller repeats it later. A task that fails is logged.
 */
public final class DeadLetterExecutor implements DeadLetterStoreQueue, AutoCloseable {
    static final int QUEUE_CAPACITY = 1_000;
    private static final int CLOSE_TIMEOUT_SECONDS = 2;

    private final DeadLetterStore store;
    private final Executor eventLoop;
    private final ThreadPoolExecutor thread =
            new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUE_CAPACITY), task -> {
                Thread created = new Thread(task, "deadletter-store");
                created.setDaemon(true);
                return created;
            });

    /** An executor that reports results on an event loop. It owns the store and closes it. */
    public DeadLetterExecutor(DeadLetterStore store, Executor eventLoop) {
        this.store = store;
        this.eventLoop = eventLoop;
    }

    @Override
    public <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed) {
        try {
            thread.execute(() -> run(task, then, failed));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private <T> void run(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed) {
        try {
            T result = task.apply(store);
            eventLoop.execute(() -> then.accept(result));
        } catch (RuntimeException e) {
            Log.line("deadletter: store task failed error=\"" + e.getMessage() + "\"");
            eventLoop.execute(failed);
        }
    }

    /** Runs the queued tasks, then closes the store; gives up after {@value #CLOSE_TIMEOUT_SECONDS} s. */
    @Override
    public void close() {
        thread.shutdown();
        try {
            if (thread.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                store.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
