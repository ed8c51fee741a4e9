package loftflow.listener.http2;

import io.netty.handler.codec.http2.DefaultHttp2LocalFlowController;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Stream;
import loftflow.listener.http2.flowcontrol.ReceiveWindowAllocator;
import loftflow.protocol.ClientProtocol;

/**
 * Manages the receive windows of one connection. A stream starts with a small window, which is extended when bytes are
 * allocated from the listener's pool. The connection's window is extended by the bytes of partly received bodies:
 * otherwise these could use up the window together, and none of them could complete.
 */
final class SessionFlowControl {
    /** The initial window of a stream. A body within it needs no allocation from the pool. */
    static final int INITIAL_STREAM_WINDOW_BYTES = 4 << 10;
    /**
     * The maximum window of a stream: one byte more than the maximum body, so that a body of unknown length that
     * exceeds the maximum is detected.
     */
    static final int MAX_STREAM_WINDOW_BYTES = ClientProtocol.MAX_BODY_BYTES + 1;
    /** The step by which the windows of bodies of unknown length, and of the connection, change. */
    static final int STEP_BYTES = 16 << 10;

    /**
     * Netty sends WINDOW_UPDATE once the ratio of the unused part of a window falls below this value. With a value
     * close to 1 it sends even a small extension at once; the client would wait for it otherwise.
     */
    private static final float IMMEDIATE_UPDATE_RATIO = 0.999f;

    private final ClientSession session;
    private final ReceiveWindowPool pool;
    private final ReceiveWindowAllocator.Account account;
    /** The change of the connection's window, in bytes, that has not been applied yet; may be negative. */
    private int pendingCompensationBytes;

    SessionFlowControl(ClientSession session, ReceiveWindowPool pool) {
        this.session = session;
        this.pool = pool;
        account = pool.allocator().openAccount();
    }

    ReceiveWindowAllocator.Account account() {
        return account;
    }

    /**
     * Extends the connection's window from its initial size as far as the pool allows.
     *
     * @param targetBytes the intended size of the whole window
     */
    void extendConnectionWindow(int targetBytes) {
        int extraBytes = pool.allocator().allocateWindow(account, targetBytes);
        if (extraBytes > 0) {
            extend(session.connection().connectionStream(), extraBytes);
        }
    }

    /** Extends the window of a stream; returns false if the stream has to wait for bytes from the pool. */
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

    /** Makes a slow body on another connection release its bytes if that connection exceeds its fair share. */
    void reclaim(RequestStream stream, int bytes) {
        ReceiveWindowAllocator.Verdict verdict = pool.allocator().check(account, stream.requestClass(), bytes);
        if (verdict == ReceiveWindowAllocator.Verdict.AFTER_RECLAIM) {
            pool.reclaimFrom(pool.allocator().largestHolder());
        }
    }

    /** Extends the connection's window by the received bytes of an incomplete body. */
    void compensateConnectionWindow(RequestStream stream, int bytes) {
        stream.onCompensated(bytes);
        changeConnectionWindow(bytes);
    }

    private void changeConnectionWindow(int bytes) {
        pendingCompensationBytes += bytes;
        if (Math.abs(pendingCompensationBytes) >= STEP_BYTES && !session.isFinished()) {
            extend(session.connection().connectionStream(), pendingCompensationBytes);
            pendingCompensationBytes = 0;
        }
    }

    /** Releases all bytes of a stream whose body is complete or no longer needed. */
    void release(RequestStream stream) {
        int allocatedBytes = stream.allocatedBytes();
        changeConnectionWindow(-stream.compensatedBytes());
        stream.onReleased();
        if (allocatedBytes > 0) {
            pool.allocator().release(account, stream.requestClass(), allocatedBytes);
            pool.onReleased();
        }
    }

    /** Releases the window of the closed connection. */
    void close() {
        pool.allocator().closeAccount(account);
        pool.onReleased();
    }

    /** Reports the earlier bytes of a complete body to Netty as processed. */
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
