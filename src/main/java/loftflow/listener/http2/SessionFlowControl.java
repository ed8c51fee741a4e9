package loftflow.listener.http2;

import io.netty.handler.codec.http2.DefaultHttp2LocalFlowController;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Stream;
import loftflow.listener.connection.RequestBufferBudget;
import loftflow.listener.http2.flowcontrol.ReceiveWindowAllocator;
import loftflow.protocol.ClientProtocol;

/**
 * The receive windows of one connection. A stream starts with a small window, which is extended as bytes are allocated
 * from the listener's pool. The connection's window is extended by the bytes of partly received bodies, so that they
 * can't use it up together and leave none able to complete.
 */
final class SessionFlowControl {
    /** The window of a new stream; a body that fits needs no allocation. */
    static final int INITIAL_STREAM_WINDOW_BYTES = RequestBufferBudget.GUARANTEED_REQUEST_BYTES;
    /**
     * The largest window of a stream: one byte more than any body may have, so that a body of unknown length is found
     * to be too large.
     */
    static final int MAX_STREAM_WINDOW_BYTES = ClientProtocol.MAX_BODY_BYTES + 1;
    /** The steps in which windows of bodies of unknown length, and of the connection, change. */
    static final int STEP_BYTES = 16 << 10;

    /**
     * Netty sends WINDOW_UPDATE once the unused part of a window is below this ratio. At nearly 1, it sends even a
     * small extension at once, for which the client would wait otherwise.
     */
    private static final float IMMEDIATE_UPDATE_RATIO = 0.999f;

    private final ClientSession session;
    private final ReceiveWindowPool pool;
    private final ReceiveWindowAllocator.Account account;
    /** The change of the connection's window that is not sent yet. */
    private int unsentCompensationBytes;

    SessionFlowControl(ClientSession session, ReceiveWindowPool pool) {
        this.session = session;
        this.pool = pool;
        account = pool.allocator().openAccount();
    }

    ReceiveWindowAllocator.Account account() {
        return account;
    }

    /** Extends the connection's window from its initial size as far as the pool allows. */
    void extendConnectionWindow(int wantedBytes) {
        int extraBytes = pool.allocator().allocateWindow(account, wantedBytes);
        if (extraBytes > 0) {
            extend(session.connection().connectionStream(), extraBytes);
        }
    }

    /** Extends the window of a stream; returns false where the stream has to wait for bytes from the pool. */
    boolean tryExtend(RequestStream stream, int bytes) {
        ReceiveWindowAllocator.Verdict verdict = pool.allocator().tryAllocate(account, stream.requestClass(), bytes);
        if (verdict != ReceiveWindowAllocator.Verdict.GRANTED) {
            pool.await(stream);
            return false;
        }
        stream.onWindowExtended(bytes);
        extend(stream.stream(), bytes);
        return true;
    }

    /** Makes a slow body on another connection release its bytes, where that connection exceeds its fair share. */
    void reclaim(RequestStream stream, int bytes) {
        ReceiveWindowAllocator.Verdict verdict = pool.allocator().check(account, stream.requestClass(), bytes);
        if (verdict == ReceiveWindowAllocator.Verdict.AFTER_RECLAIM) {
            pool.reclaimFrom(pool.allocator().largestHolder());
        }
    }

    /** Extends the connection's window by bytes of a body that is not complete yet. */
    void compensate(RequestStream stream, int bytes) {
        stream.onCompensated(bytes);
        compensate(bytes);
    }

    private void compensate(int bytes) {
        unsentCompensationBytes += bytes;
        if (Math.abs(unsentCompensationBytes) >= STEP_BYTES && !session.isFinished()) {
            extend(session.connection().connectionStream(), unsentCompensationBytes);
            unsentCompensationBytes = 0;
        }
    }

    /** Releases all bytes of a stream whose body is complete or not needed any more. */
    void release(RequestStream stream) {
        int allocatedBytes = stream.allocatedBytes();
        compensate(-stream.compensatedBytes());
        stream.onReleased();
        if (allocatedBytes > 0) {
            pool.allocator().release(account, stream.requestClass(), allocatedBytes);
            pool.onReleased();
        }
    }

    /** The connection is closed. */
    void close() {
        pool.allocator().closeAccount(account);
        pool.onReleased();
    }

    /** Marks the earlier bytes of a complete body as processed, so that Netty accounts for them. */
    void consume(RequestStream stream, int bytes) throws Http2Exception {
        session.connection().local().flowController().consumeBytes(stream.stream(), bytes);
    }

    /** Changes the window of a stream or of the connection, and sends the extension at once. */
    private void extend(Http2Stream stream, int bytes) {
        DefaultHttp2LocalFlowController flowController =
                (DefaultHttp2LocalFlowController) session.connection().local().flowController();
        try {
            flowController.windowUpdateRatio(stream, IMMEDIATE_UPDATE_RATIO);
            flowController.incrementWindowSize(stream, bytes);
            if (stream.id() == session.connection().connectionStream().id()) {
                flowController.windowUpdateRatio(stream, DefaultHttp2LocalFlowController.DEFAULT_WINDOW_UPDATE_RATIO);
            }
            session.flushSoon();
        } catch (Http2Exception e) {
            session.onError(session.context(), false, e);
        }
    }
}
