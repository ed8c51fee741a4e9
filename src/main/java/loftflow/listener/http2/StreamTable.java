package loftflow.listener.http2;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.handler.codec.http2.ReadOnlyHttp2Headers;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.engine.MessageAcceptor;
import loftflow.listener.http2.flowcontrol.FrameBudget;
import loftflow.listener.http2.flowcontrol.StreamLifecycle;
import loftflow.listener.request.ClientResponse;
import loftflow.listener.request.MessageRequest;
import loftflow.protocol.ClientProtocol;

/** The open streams of one connection. It begins requests, sends the response of each, and tracks their close. */
final class StreamTable {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long READ_TIMEOUT_MICROS = MessageRequest.READ_TIMEOUT_MILLIS * MICROS_PER_MILLI;
    /** The {@code Retry-After} of a message that was rejected for lack of memory. */
    private static final long OVERLOADED_RETRY_AFTER_MICROS = 1_000_000;

    private static final Map<ClientResponse, Http2Headers> RESPONSE_HEADERS = new EnumMap<>(ClientResponse.class);
    private static final Http2Headers CONTINUE_HEADERS =
            ReadOnlyHttp2Headers.serverHeaders(false, HttpResponseStatus.CONTINUE.codeAsText());

    static {
        for (ClientResponse response : ClientResponse.values()) {
            Http2Headers headers =
                    ReadOnlyHttp2Headers.serverHeaders(false, response.status().codeAsText());
            RESPONSE_HEADERS.put(response, headers);
        }
    }

    private final ClientSession session;
    private final StreamCapacity capacity;
    private final SessionFlowControl flowControl;
    private final MessageAcceptor messageAcceptor;
    private final Http2Connection.PropertyKey requestKey;
    /** Streams whose requests are not completely received, oldest first. */
    private final Set<RequestStream> reading = new LinkedHashSet<>();

    private int openStreams;

    StreamTable(
            ClientSession session,
            StreamCapacity capacity,
            SessionFlowControl flowControl,
            MessageAcceptor messageAcceptor) {
        this.session = session;
        this.capacity = capacity;
        this.flowControl = flowControl;
        this.messageAcceptor = messageAcceptor;
        requestKey = session.connection().newKey();
    }

    int openStreams() {
        return openStreams;
    }

    /** Returns whether a completely received request has no response yet. */
    boolean hasRequestInProgress() {
        return openStreams > reading.size();
    }

    /** Returns the open stream with an id; null if there is none. */
    RequestStream get(int streamId) {
        Http2Stream stream = session.connection().stream(streamId);
        return stream == null ? null : get(stream);
    }

    /** Returns the open stream that belongs to a Netty stream; null if there is none. */
    RequestStream get(Http2Stream stream) {
        return stream.getProperty(requestKey);
    }

    /**
     * Opens a stream and begins its request.
     *
     * @throws Http2Exception if the stream is refused or its head is malformed
     */
    RequestStream begin(Http2Stream http2Stream, Http2Headers head) throws Http2Exception {
        if (!session.acceptsNewStream(openStreams) || !capacity.tryOpen(openStreams == 0)) {
            throw Http2Exception.streamError(http2Stream.id(), Http2Error.REFUSED_STREAM, "stream limit reached");
        }
        RequestStream stream =
                new RequestStream(this, flowControl, messageAcceptor, http2Stream, head, session.nowMicros());
        http2Stream.setProperty(requestKey, stream);
        openStreams++;
        if (openStreams == 1) {
            session.onFirstStreamOpened();
        }
        reading.add(stream);
        if (hasRepeatedPseudoHeader(head)) {
            throw Http2Exception.streamError(http2Stream.id(), Http2Error.PROTOCOL_ERROR, "repeated pseudo-header");
        }
        if (stream.contentLength() > ClientProtocol.MAX_BODY_BYTES) {
            reject(stream, ClientResponse.TOO_LARGE);
        } else {
            awaitBody(stream, head);
        }
        return stream;
    }

    private static boolean hasRepeatedPseudoHeader(Http2Headers head) {
        return head.getAll(Http2Headers.PseudoHeaderName.PATH.value()).size() > 1
                || head.getAll(Http2Headers.PseudoHeaderName.METHOD.value()).size() > 1;
    }

    private void awaitBody(RequestStream stream, Http2Headers head) {
        if (stream.contentLength() > SessionFlowControl.INITIAL_STREAM_WINDOW_BYTES) {
            stream.requestWindow((int) stream.contentLength() - SessionFlowControl.INITIAL_STREAM_WINDOW_BYTES);
        }
        CharSequence expect = head.get(HttpHeaderNames.EXPECT);
        if (expect != null && HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expect)) {
            session.writeHeaders(stream.stream().id(), CONTINUE_HEADERS, false);
            session.flushSoon();
        }
    }

    /** Handles a completely received request. */
    void onRequestComplete(RequestStream stream) {
        reading.remove(stream);
        flowControl.release(stream);
        session.handle(stream);
        if (stream.isAwaitingResponse()) {
            stream.lifecycle().apply(StreamLifecycle.Event.JOURNALED);
        }
    }

    /** Rejects an incomplete request, and asks the client to stop sending the rest (RFC 9113, section 8.1). */
    void reject(RequestStream stream, ClientResponse response) {
        boolean isOverloaded = response == ClientResponse.OVERLOADED;
        if (isOverloaded) {
            capacity.onRejected();
        }
        long retryAfterMicros = isOverloaded ? OVERLOADED_RETRY_AFTER_MICROS : 0;
        respond(stream, response, retryAfterMicros, StreamLifecycle.Event.REJECTED);
    }

    /** Rejects requests that were not completely received before the read timeout. */
    void rejectTimedOut(long nowMicros) {
        for (RequestStream stream : List.copyOf(reading)) {
            if (nowMicros - stream.startedAtMicros() < READ_TIMEOUT_MICROS) {
                break;
            }
            reject(stream, stream.isAwaitingWindow() ? ClientResponse.OVERLOADED : ClientResponse.REQUEST_TIMEOUT);
        }
    }

    /** Rejects the oldest incomplete request that holds bytes of the pool, if it started before a time. */
    void rejectSlowest(long startedBeforeMicros) {
        reading.stream()
                .filter(stream -> stream.allocatedBytes() > 0 && stream.startedAtMicros() < startedBeforeMicros)
                .findFirst()
                .ifPresent(stream -> reject(stream, ClientResponse.OVERLOADED));
    }

    /** Sends the response of a stream if its client still awaits one. */
    void respond(RequestStream stream, ClientResponse response, long retryAfterMicros, StreamLifecycle.Event event) {
        if (response == ClientResponse.REJECTED) {
            capacity.onRejected();
        }
        if (stream.lifecycle().apply(event) != StreamLifecycle.Action.RESPOND) {
            return;
        }
        reading.remove(stream);
        flowControl.release(stream);
        session.writeHeaders(stream.stream().id(), headers(response, retryAfterMicros), true);
        if (!stream.isComplete()) {
            session.resetStream(stream.stream().id());
        }
        session.flushSoon();
        if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            session.tryConsume(FrameBudget.Kind.INVALID_REQUEST);
        }
    }

    private static Http2Headers headers(ClientResponse response, long retryAfterMicros) {
        if (retryAfterMicros <= 0) {
            return RESPONSE_HEADERS.get(response);
        }
        return new DefaultHttp2Headers(false, 2)
                .status(response.status().codeAsText())
                .add(HttpHeaderNames.RETRY_AFTER, ClientResponse.retryAfter(retryAfterMicros));
    }

    /** Handles the close of a stream, after its response, by its client or with the connection. */
    void onClosed(RequestStream stream, StreamLifecycle.Event event) {
        if (stream.lifecycle().apply(event) == StreamLifecycle.Action.CONTINUE_WITHOUT_CLIENT) {
            messageAcceptor.clientDisconnected(stream.releaseMessage());
        }
        reading.remove(stream);
        flowControl.release(stream);
        openStreams--;
        capacity.onClosed(openStreams == 0);
        if (openStreams == 0) {
            session.onLastStreamClosed();
        }
    }
}
