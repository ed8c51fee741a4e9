package loftflow.listener.http2;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
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

/** An HTTP/2 stream with one request, from its head to its response. */
final class RequestStream extends Exchange {
    /** Lower-case header names, which HTTP/2 requires, by their names in {@link ClientProtocol}. */
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

    /** The number of body bytes that the stream's receive window has allowed so far. */
    private int windowBytes = SessionFlowControl.INITIAL_STREAM_WINDOW_BYTES;

    private int allocatedBytes;
    private int compensatedBytes;
    /** The bytes by which the window is to be extended once the pool allows it; 0 if no extension is requested. */
    private int requestedBytes;

    private byte[] body = EMPTY_BODY;
    private int bodyBytes;
    private boolean isComplete;

    /** Creates a stream whose head was received at the given time. */
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
        this.head = usedFields(head);
        this.startedAtMicros = startedAtMicros;
        // The decoder has verified that Content-Length is a number.
        contentLength = head.getLong(HttpHeaderNames.CONTENT_LENGTH, UNKNOWN_LENGTH);
    }

    /** Returns a head without the fields that are not used: stored, a field takes many times its bytes on the wire. */
    private static Http2Headers usedFields(Http2Headers received) {
        Http2Headers used =
                new DefaultHttp2Headers(false, ClientProtocol.requestHeaders().size());
        used.method(received.method()).path(received.path());
        for (AsciiString name : LOWER_CASE_NAMES.values()) {
            CharSequence value = received.get(name);
            if (value != null) {
                used.set(name, value);
            }
        }
        return used;
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

    /** Returns the value of Content-Length; negative if the header is absent. */
    long contentLength() {
        return contentLength;
    }

    /** Returns the time at which the head was received, in microseconds. */
    long startedAtMicros() {
        return startedAtMicros;
    }

    /**
     * Returns the request class in the head, which may be unknown; empty if absent. It determines which part of the
     * pool the bytes are allocated from.
     */
    String requestClass() {
        CharSequence name = head.get(LOWER_CASE_NAMES.get(ClientProtocol.CLASS_HEADER));
        return name == null ? "" : name.toString();
    }

    /** Returns the number of body bytes that the stream's receive window has allowed so far. */
    int windowBytes() {
        return windowBytes;
    }

    /** Records that the window has been extended by bytes that were allocated from the pool. */
    void onWindowExtended(int bytes) {
        windowBytes += bytes;
        allocatedBytes += bytes;
    }

    /** Requests a larger window. If the pool is exhausted, the request is repeated when bytes are released. */
    void requestWindow(int bytes) {
        requestedBytes = bytes;
        retryWindowRequest();
    }

    /** Repeats the request for a larger window. */
    void retryWindowRequest() {
        if (isAwaitingWindow() && flowControl.tryExtend(this, requestedBytes)) {
            requestedBytes = 0;
        }
    }

    /** Makes another connection release bytes if the body still waits for a larger window. */
    void reclaimWindow() {
        if (isAwaitingWindow()) {
            flowControl.reclaim(this, requestedBytes);
        }
    }

    /** Returns whether the body waits for a larger window. */
    boolean isAwaitingWindow() {
        return requestedBytes > 0 && isReading();
    }

    /** Returns whether the body's length is unknown and its window is nearly used up. */
    boolean needsLargerWindow() {
        return requestedBytes == 0
                && windowBytes < SessionFlowControl.MAX_STREAM_WINDOW_BYTES
                && windowBytes - bodyBytes < SessionFlowControl.INITIAL_STREAM_WINDOW_BYTES / 2
                && contentLength == UNKNOWN_LENGTH;
    }

    /** Returns the bytes that are allocated from the pool for this stream. */
    int allocatedBytes() {
        return allocatedBytes;
    }

    /** Returns the bytes by which the connection's window is extended for the incomplete body of this stream. */
    int compensatedBytes() {
        return compensatedBytes;
    }

    /** Records an extension of the connection's window for this stream. */
    void onCompensated(int bytes) {
        compensatedBytes += bytes;
    }

    /** Records that all bytes of this stream have been released. */
    void onReleased() {
        allocatedBytes = 0;
        compensatedBytes = 0;
    }

    /** Returns the number of received body bytes. */
    int bodyBytes() {
        return bodyBytes;
    }

    /** Appends a chunk of the body. The caller ensures that the body stays within its maximum size. */
    void append(ByteBuf chunk) {
        int chunkBytes = chunk.readableBytes();
        if (bodyBytes + chunkBytes > body.length) {
            // The buffer never exceeds the window, whatever length Content-Length announces.
            long expectedBytes = contentLength == UNKNOWN_LENGTH ? 2 * body.length : contentLength;
            int capacity = (int) Math.min(windowBytes, expectedBytes);
            body = Arrays.copyOf(body, Math.max(bodyBytes + chunkBytes, capacity));
        }
        chunk.readBytes(body, bodyBytes, chunkBytes);
        bodyBytes += chunkBytes;
    }

    /** Returns whether the request has been completely received. */
    boolean isComplete() {
        return isComplete;
    }

    /** Handles the request, which has been completely received. */
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
