package loftflow.listener.http2;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.util.AsciiString;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.http2.flowcontrol.StreamLifecycle;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.Exchange;
import loftflow.listener.request.MessageRequest;
import loftflow.protocol.ClientProtocol;

/** One request on a connection, from its head to its one response. */
final class RequestStream extends Exchange {
    /** The lower-case names that HTTP/2 requires, by header name. */
    private static final Map<String, AsciiString> LOWER_CASE_NAMES = ClientProtocol.requestHeaders().stream()
            .collect(Collectors.toMap(Function.identity(), name -> AsciiString.cached(name.toLowerCase(Locale.ROOT))));

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final long UNKNOWN_LENGTH = -1;

    private final StreamTable streams;
    private final SessionFlowControl flowControl;
    private final Http2Stream stream;
    private final Http2Headers head;
    private final StreamLifecycle lifecycle = new StreamLifecycle();
    private final long startedAtMicros;
    private final long contentLength;

    private int windowBytes = SessionFlowControl.INITIAL_STREAM_WINDOW_BYTES;
    private int allocatedBytes;
    private int compensatedBytes;
    /** Bytes by which the window is to be extended once they are available; 0 for none. */
    private int wantedBytes;

    private byte[] body = EMPTY_BODY;
    private int bodyBytes;
    private boolean isComplete;

    /** Creates the request of a stream whose head was received. */
    RequestStream(
            StreamTable streams,
            SessionFlowControl flowControl,
            MessageAcceptor messageAcceptor,
            Http2Stream stream,
            Http2Headers head,
            long startedAtMicros) {
        super(messageAcceptor);
        this.streams = streams;
        this.flowControl = flowControl;
        this.stream = stream;
        this.head = head;
        this.startedAtMicros = startedAtMicros;
        // The decoder has verified that a length is a number.
        contentLength = head.getLong(HttpHeaderNames.CONTENT_LENGTH, UNKNOWN_LENGTH);
    }

    Http2Stream stream() {
        return stream;
    }

    StreamLifecycle lifecycle() {
        return lifecycle;
    }

    boolean isReading() {
        return lifecycle.state() == StreamLifecycle.State.READING;
    }

    /** The length of the body by its head; negative where the head does not say. */
    long contentLength() {
        return contentLength;
    }

    /** When the head was received. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /** The class in its head, which decides from which part of the pool its bytes come; possibly an unknown one. */
    String requestClass() {
        CharSequence name = head.get(LOWER_CASE_NAMES.get(ClientProtocol.CLASS_HEADER));
        return name == null ? "" : name.toString();
    }

    /** The number of body bytes that its receive windows have allowed so far. */
    int windowBytes() {
        return windowBytes;
    }

    /** Its window has been extended by bytes that were allocated from the pool. */
    void onWindowExtended(int bytes) {
        windowBytes += bytes;
        allocatedBytes += bytes;
    }

    /** Requests a larger window; where the pool is exhausted, the request is repeated as bytes are released. */
    void requestWindow(int bytes) {
        wantedBytes = bytes;
        retryWindowRequest();
    }

    /** Repeats the request for a larger window. */
    void retryWindowRequest() {
        if (isAwaitingWindow() && flowControl.tryExtend(this, wantedBytes)) {
            wantedBytes = 0;
        }
    }

    /** Makes another connection release bytes, after a long wait for a larger window. */
    void reclaimWindow() {
        if (isAwaitingWindow()) {
            flowControl.reclaim(this, wantedBytes);
        }
    }

    /** Returns true where the body waits for a larger window. */
    boolean isAwaitingWindow() {
        return wantedBytes > 0 && isReading();
    }

    /** Returns true where the length is unknown and the window is nearly used up. */
    boolean needsLargerWindow() {
        return wantedBytes == 0
                && windowBytes < SessionFlowControl.MAX_STREAM_WINDOW_BYTES
                && windowBytes - bodyBytes < SessionFlowControl.INITIAL_STREAM_WINDOW_BYTES / 2
                && contentLength == UNKNOWN_LENGTH;
    }

    /** The bytes that are allocated to it from the pool. */
    int allocatedBytes() {
        return allocatedBytes;
    }

    /** The bytes by which the connection's window is extended on its behalf. */
    int compensatedBytes() {
        return compensatedBytes;
    }

    /** The connection's window is extended on its behalf. */
    void onCompensated(int bytes) {
        compensatedBytes += bytes;
    }

    /** All its bytes have been released. */
    void onReleased() {
        allocatedBytes = 0;
        compensatedBytes = 0;
    }

    /** The number of body bytes received. */
    int bodyBytes() {
        return bodyBytes;
    }

    /** Appends a chunk of the body, which must fit its maximum size. */
    void append(ByteBuf chunk) {
        int chunkBytes = chunk.readableBytes();
        if (bodyBytes + chunkBytes > body.length) {
            // The buffer never exceeds what the window allows, however long a body the head announces.
            long expectedBytes = contentLength == UNKNOWN_LENGTH ? 2 * body.length : contentLength;
            int capacity = (int) Math.min(windowBytes, expectedBytes);
            body = Arrays.copyOf(body, Math.max(bodyBytes + chunkBytes, capacity));
        }
        chunk.readBytes(body, bodyBytes, chunkBytes);
        bodyBytes += chunkBytes;
    }

    /** Returns true where the client has sent the whole request. */
    boolean isComplete() {
        return isComplete;
    }

    /** Handles the request, which is complete. */
    void onComplete(boolean isDraining, long earliestArrivalMicros, long unreadSinceMicros) {
        isComplete = true;
        handle(head.method(), head.path(), isDraining, () -> parseMessage(earliestArrivalMicros), unreadSinceMicros);
    }

    private Message.Content parseMessage(long arrivedAtMicros) {
        byte[] content = bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes);
        return MessageRequest.parse(
                head.path(), name -> head.get(LOWER_CASE_NAMES.get(name)), arrivedAtMicros, content);
    }

    @Override
    protected void respond(ClientResponse response, long retryAfterMicros) {
        releaseMessage();
        streams.respond(this, response, retryAfterMicros, StreamLifecycle.Event.RESPONDED);
    }
}
