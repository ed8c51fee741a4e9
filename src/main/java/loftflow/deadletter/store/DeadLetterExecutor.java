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
 * The thread of a shelf, behind a queue of {@value #MOST} tasks. A full queue turns a task away, whoever asked keeps
 * what it is about (the journal, or the person who asked) and asks again. A task that fails is told to staff.
 */
public final class DeadLetterExecutor implements DeadLetterStoreQueue, AutoCloseable {
    static final int MOST = 1_000;
    private static final int PATIENCE_S = 2;

    private final DeadLetterStore shelf;
    private final Executor loop;
    private final ThreadPoolExecutor thread =
            new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MOST), work -> {
                Thread made = new Thread(work, "undeliverable");
                made.setDaemon(true);
                return made;
            });

    /** A thread for a shelf that tells results on an event loop. */
    public DeadLetterExecutor(DeadLetterStore shelf, Executor loop) {
        this.shelf = shelf;
        this.loop = loop;
    }

    @Override
    public <T> boolean submit(Function<DeadLetterStore, T> task, Consumer<T> then, Runnable failed) {
        try {
            thread.execute(() -> {
                try {
                    T result = task.apply(shelf);
                    loop.execute(() -> then.accept(result));
                } catch (RuntimeException e) {
                    Log.line(e.getMessage());
                    loop.execute(failed);
                }
            });
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** Does what is queued, then closes the shelf. */
    @Override
    public void close() {
        thread.shutdown();
        try {
            if (thread.awaitTermination(PATIENCE_S, TimeUnit.SECONDS)) {
                shelf.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
