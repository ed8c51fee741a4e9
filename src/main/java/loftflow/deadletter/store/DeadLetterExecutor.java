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
 * Runs the tasks of a store on a single thread with a queue of {@value #QUEUE_CAPACITY} tasks. A task is rejected if
 * the queue is full; the caller may retry it later. Failed tasks are logged.
 */
public final class DeadLetterExecutor implements DeadLetterStoreQueue, AutoCloseable {
    static final int QUEUE_CAPACITY = 1_000;
    private static final int CLOSE_TIMEOUT_SECONDS = 2;

    private final DeadLetterStore store;
    private final Executor eventLoop;
    private final ThreadPoolExecutor worker =
            new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUE_CAPACITY), task -> {
                Thread created = new Thread(task, "deadletter-store");
                created.setDaemon(true);
                return created;
            });

    /** Creates an executor that reports results on an event loop. It takes ownership of the store and closes it. */
    public DeadLetterExecutor(DeadLetterStore store, Executor eventLoop) {
        this.store = store;
        this.eventLoop = eventLoop;
    }

    @Override
    public <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> onResult, Runnable onFailure) {
        try {
            worker.execute(() -> run(task, onResult, onFailure));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private <T> void run(Function<DeadLetterStore, T> task, Consumer<T> onResult, Runnable onFailure) {
        try {
            T result = task.apply(store);
            eventLoop.execute(() -> onResult.accept(result));
        } catch (RuntimeException e) {
            Log.line("deadletter: store task failed error=\"" + e.getMessage() + "\"");
            eventLoop.execute(onFailure);
        }
    }

    /**
     * Runs the queued tasks, then closes the store. If the tasks take longer than {@value #CLOSE_TIMEOUT_SECONDS} s,
     * the store stays open and the remaining tasks continue on their daemon thread.
     */
    @Override
    public void close() {
        worker.shutdown();
        try {
            if (worker.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                store.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
