package loftflow.server;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loftflow.engine.DeliveryEngine;
import loftflow.listener.Listener;

/**
 * The graceful shutdown that SIGTERM starts. Its phases, with all times counted from the signal:
 *
 * <ol>
 *   <li>The relay serves as usual, because clients still open connections.
 *   <li>The listeners drain.
 *   <li>Idle connections are closed. From now on the process ends once nothing is in flight.
 *   <li>The relay quiesces: it accepts no message, and the policy starts no attempt.
 *   <li>After the deadline the process ends as soon as no client is waiting for a response.
 * </ol>
 *
 * <p>Messages that are still open at the end are in the journal, and the next process resumes them. The process is
 * killed no earlier than 3.7 s after the signal.
 */
final class GracefulShutdown {
    /** Start of the drain. Until then the relay serves as usual, because clients still open connections. */
    private static final long DRAIN_AFTER_MILLIS = 500;
    /**
     * Time at which connections that have been idle since the start of the drain are closed, and from which on the
     * process may end. A client that sends requests more often is told in a response that the connection closes, so
     * that none of its requests can cross the close.
     */
    private static final long CLOSE_IDLE_AFTER_MILLIS = 1000;
    /** Time from which on no message is accepted and no attempt is started. An attempt takes about a second. */
    private static final long QUIESCE_AFTER_MILLIS = 2200;
    /** Time from which on only requests that clients have sent in full and that have no response delay the end. */
    private static final long DEADLINE_MILLIS = 3200;
    /** Interval between checks whether the process may end. */
    private static final long CHECK_INTERVAL_MILLIS = 20;

    private final EventLoop eventLoop;
    private final DeliveryEngine engine;
    private final List<Listener> listeners;
    private final Runnable closeStores;
    private final CountDownLatch finished = new CountDownLatch(1);
    private long deadlineNanos;

    /**
     * Creates a shutdown; {@link #run} starts it.
     *
     * @param closeStores closes the persistent stores; runs on the event loop after the listeners have stopped
     */
    GracefulShutdown(EventLoop eventLoop, DeliveryEngine engine, List<Listener> listeners, Runnable closeStores) {
        this.eventLoop = eventLoop;
        this.engine = engine;
        this.listeners = listeners;
        this.closeStores = closeStores;
    }

    /** Shuts the relay down and returns when the process may end. Must not be called on the event loop. */
    void run() {
        deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
        eventLoop.schedule(engine::quiesce, QUIESCE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop.schedule(() -> listeners.forEach(Listener::drain), DRAIN_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        eventLoop.schedule(this::closeIdleConnectionsAndFinish, CLOSE_IDLE_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        try {
            finished.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void closeIdleConnectionsAndFinish() {
        listeners.forEach(Listener::closeIdle);
        finishOrReschedule();
    }

    private void finishOrReschedule() {
        // Requests that have arrived since the sockets were last read still get a response, even if it is a rejection.
        listeners.forEach(Listener::readPending);
        engine.readPendingResponses();
        if (canFinish()) {
            listeners.forEach(Listener::closeIdle);
        }
        // Closing the idle connections may have read another request.
        if (canFinish()) {
            listeners.forEach(Listener::stopListening);
            closeStores.run();
            finished.countDown();
        } else {
            eventLoop.schedule(this::finishOrReschedule, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean canFinish() {
        boolean isPastDeadline = System.nanoTime() - deadlineNanos >= 0;
        return isIdle() || isPastDeadline && listeners.stream().noneMatch(Listener::hasRequestInProgress);
    }

    private boolean isIdle() {
        boolean isEngineIdle = engine.isIdle() || engine.isQuiescing() && engine.hasNothingInFlight();
        return listeners.stream().allMatch(Listener::isIdle) && isEngineIdle;
    }
}
