package loftflow.server;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loftflow.engine.DeliveryEngine;
import loftflow.listener.Listener;

/**
 * What happens on SIGTERM. For a moment the relay serves as usual; then its listeners drain, and close connections that
 * stay idle; then the policy starts no attempt any more; the process ends once nothing is in flight, or from a deadline
 * on as soon as no client waits for an answer. Messages that are open at the end are in the journal, and the next
 * process resumes them.
 *
 * <p>All times count from the signal. The process is killed 3.7 s after it at the earliest.
 */
final class GracefulShutdown {
    /** Until then the relay serves as usual, since clients still open connections. */
    private static final long DRAIN_AFTER_MILLIS = 500;
    /**
     * Connections that have been idle since the drain began are closed then, and the process may end. A client that
     * uses its connection more often learns of the close from a response, which no request of its own can cross.
     */
    private static final long CLOSE_IDLE_AFTER_MILLIS = 1000;
    /** From then on no message is accepted and the policy starts no attempt; one takes about a second. */
    private static final long QUIESCE_AFTER_MILLIS = 2200;
    /** From then on only answers that clients wait for delay the end. */
    private static final long DEADLINE_MILLIS = 3200;
    /** Interval at which the relay looks whether it may end. */
    private static final long CHECK_INTERVAL_MILLIS = 20;

    private final EventLoop eventLoop;
    private final DeliveryEngine engine;
    private final List<Listener> listeners;
    private final Runnable closeStores;
    private final CountDownLatch finished = new CountDownLatch(1);
    private long deadlineNanos;

    /**
     * A shutdown that has not begun.
     *
     * @param closeStores closes the stores that outlast the process; runs on the event loop after the listeners stop
     */
    GracefulShutdown(EventLoop eventLoop, DeliveryEngine engine, List<Listener> listeners, Runnable closeStores) {
        this.eventLoop = eventLoop;
        this.engine = engine;
        this.listeners = listeners;
        this.closeStores = closeStores;
    }

    /** Shuts the relay down; returns when the process may end. Not to be called on the event loop. */
    void run() {
        deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
        eventLoop.schedule(engine::quiesce, QUIESCE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop.schedule(() -> listeners.forEach(Listener::drain), DRAIN_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop.schedule(this::closeIdleAndFinish, CLOSE_IDLE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        try {
            finished.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeIdleAndFinish() {
        listeners.forEach(Listener::closeIdle);
        finishWhenIdle();
    }

    private void finishWhenIdle() {
        // A request that arrived since the last pass read its sockets is still answered, if only as rejected.
        listeners.forEach(Listener::readPending);
        if (mayEnd()) {
            listeners.forEach(Listener::closeIdle);
        }
        // The close may have read a request.
        if (mayEnd()) {
            listeners.forEach(Listener::stopListening);
            closeStores.run();
            finished.countDown();
        } else {
            eventLoop.schedule(this::finishWhenIdle, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean mayEnd() {
        boolean isPastDeadline = System.nanoTime() - deadlineNanos >= 0;
        return isIdle() || isPastDeadline && listeners.stream().noneMatch(Listener::hasRequestInProgress);
    }

    private boolean isIdle() {
        boolean isEngineIdle = engine.isIdle() || engine.isQuiescing() && engine.hasNothingInFlight();
        return listeners.stream().allMatch(Listener::isIdle) && isEngineIdle;
    }
}
