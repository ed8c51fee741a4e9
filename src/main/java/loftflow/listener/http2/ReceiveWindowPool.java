package loftflow.listener.http2;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import loftflow.engine.Clock;
import loftflow.listener.http2.flowcontrol.ReceiveWindowAllocator;

/** Manages the receive windows of all connections of a listener, and the streams that wait for a larger window. */
final class ReceiveWindowPool {
    /**
     * The time after which a body that waits for a window may make a slower body release its bytes. It is also the
     * minimum age of that slower body.
     */
    private static final long RECLAIM_AFTER_MICROS = 500_000;

    private final Clock clock;
    private final Supplier<List<ClientSession>> sessions;
    private final ReceiveWindowAllocator allocator;
    /** Streams whose bodies wait for a larger window, in the order of their requests. */
    private final ArrayDeque<RequestStream> waiting = new ArrayDeque<>();

    private boolean isRetryingWaiting;

    ReceiveWindowPool(Clock clock, Supplier<List<ClientSession>> sessions, long poolBytes, Map<String, Double> shares) {
        this.clock = clock;
        this.sessions = sessions;
        allocator = new ReceiveWindowAllocator(poolBytes, shares);
    }

    ReceiveWindowAllocator allocator() {
        return allocator;
    }

    /** Adds a stream that waits for bytes. */
    void await(RequestStream stream) {
        waiting.add(stream);
    }

    /**
     * Repeats the requests of all waiting streams after a release of bytes. Each class has its own reservation, so a
     * request may succeed although an earlier one does not.
     */
    void onReleased() {
        // A repeated request may cause a further release, which the loop that is already running covers.
        if (isRetryingWaiting) {
            return;
        }
        isRetryingWaiting = true;
        for (int i = waiting.size(); i > 0; i--) {
            waiting.poll().retryWindowRequest();
        }
        isRetryingWaiting = false;
    }

    /** Makes the connection that owns an account release the bytes of its slowest body. */
    void reclaimFrom(ReceiveWindowAllocator.Account account) {
        long startedBeforeMicros = clock.micros() - RECLAIM_AFTER_MICROS;
        sessions.get().stream()
                .filter(session -> session.flowControl().account() == account)
                .findFirst()
                .ifPresent(session -> session.streams().rejectSlowest(startedBeforeMicros));
    }

    /**
     * Reclaims bytes for waiting streams whose requests started more than {@link #RECLAIM_AFTER_MICROS} ago; to be
     * called periodically.
     */
    void reclaimForWaiting(long nowMicros) {
        List.copyOf(waiting).stream()
                .filter(stream -> nowMicros - stream.startedAtMicros() > RECLAIM_AFTER_MICROS)
                .forEach(RequestStream::reclaimWindow);
    }
}
