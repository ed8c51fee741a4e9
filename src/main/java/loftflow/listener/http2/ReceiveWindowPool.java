package loftflow.listener.http2;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import loftflow.engine.Clock;
import loftflow.listener.http2.flowcontrol.ReceiveWindowAllocator;

/** The receive windows of all connections of a listener, and the streams that wait for a larger one. */
final class ReceiveWindowPool {
    /** How long a body waits for a window before slower bodies are to release theirs. */
    private static final long RECLAIM_AFTER_MICROS = 500_000;

    private final Clock clock;
    private final Supplier<List<ClientSession>> sessions;
    private final ReceiveWindowAllocator allocator;
    /** Streams whose bodies wait for a larger window, in the order of their requests. */
    private final ArrayDeque<RequestStream> waiting = new ArrayDeque<>();

    private boolean isServingWaiting;

    ReceiveWindowPool(Clock clock, Supplier<List<ClientSession>> sessions, long poolBytes, Map<String, Double> shares) {
        this.clock = clock;
        this.sessions = sessions;
        allocator = new ReceiveWindowAllocator(poolBytes, shares);
    }

    ReceiveWindowAllocator allocator() {
        return allocator;
    }

    /** A stream waits for bytes. */
    void await(RequestStream stream) {
        waiting.add(stream);
    }

    /** Bytes have been released: every waiting stream tries again, as classes have reservations of their own. */
    void onReleased() {
        // A stream that tries again may cause further releases, which the loop below covers.
        if (isServingWaiting) {
            return;
        }
        isServingWaiting = true;
        for (int i = waiting.size(); i > 0; i--) {
            waiting.poll().retryWindowRequest();
        }
        isServingWaiting = false;
    }

    /** Makes the connection with an account release the bytes of a slow body. */
    void reclaimFrom(ReceiveWindowAllocator.Account account) {
        long startedBeforeMicros = clock.micros() - RECLAIM_AFTER_MICROS;
        sessions.get().stream()
                .filter(session -> session.flowControl().account() == account)
                .findFirst()
                .ifPresent(session -> session.streams().rejectSlowest(startedBeforeMicros));
    }

    /** Reclaims bytes for streams that have waited for long; to be called periodically. */
    void reclaimForWaiting(long nowMicros) {
        List.copyOf(waiting).stream()
                .filter(stream -> nowMicros - stream.startedAtMicros() > RECLAIM_AFTER_MICROS)
                .forEach(RequestStream::reclaimWindow);
    }
}
