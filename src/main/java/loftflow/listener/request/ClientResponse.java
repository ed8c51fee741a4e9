package loftflow.listener.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import loftflow.protocol.ClientProtocol;

/** The responses to HTTP clients (PROTOCOL, "Clients to relays"). None has a body. */
public enum ClientResponse {
    /** The message is accepted: the relay delivers it, or sends a completion notice if it can't. */
    ACCEPTED(HttpResponseStatus.ACCEPTED),
    /** The message was not accepted and was not executed, so it is safe to resubmit. */
    REJECTED(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The message may have been executed; its outcome is unknown. */
    FAILED(HttpResponseStatus.INTERNAL_SERVER_ERROR),
    /** The relay accepts messages. */
    READY(HttpResponseStatus.OK),
    /** The relay is starting or draining. */
    NOT_READY(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** No resource exists at the path. */
    UNKNOWN_PATH(HttpResponseStatus.NOT_FOUND),
    /** The path does not support the method. */
    WRONG_METHOD(HttpResponseStatus.METHOD_NOT_ALLOWED),
    /** The request is malformed, or a header is missing or invalid. */
    MALFORMED(HttpResponseStatus.BAD_REQUEST),
    /** The body exceeds {@link ClientProtocol#MAX_BODY_BYTES}. */
    TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE),
    /** The request was not completely received before the read timeout. */
    REQUEST_TIMEOUT(HttpResponseStatus.REQUEST_TIMEOUT),
    /** The memory for partly received requests is exhausted. */
    OVERLOADED(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The HTTP version is not supported. */
    WRONG_VERSION(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED);

    private static final double MICROS_PER_SECOND = 1e6;

    private final HttpResponseStatus status;

    ClientResponse(HttpResponseStatus status) {
        this.status = status;
    }

    /** Returns the HTTP status of the response. */
    public HttpResponseStatus status() {
        return status;
    }

    /** Formats a {@code Retry-After} value in seconds with three decimal places. */
    public static String retryAfter(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / MICROS_PER_SECOND);
    }
}
