package loftflow.listener.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import loftflow.protocol.ClientProtocol;

/** Every response that a client may get (PROTOCOL, "Clients to relays"). None has a body. */
public enum ClientResponse {
    /** The message is accepted: the relay delivers it, or reports its end. */
    ACCEPTED(HttpResponseStatus.ACCEPTED),
    /** The message was not accepted and never ran, so that resubmitting it is safe. */
    REJECTED(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** Whether the message ran is unknown. */
    FAILED(HttpResponseStatus.INTERNAL_SERVER_ERROR),
    /** The relay serves. */
    READY(HttpResponseStatus.OK),
    /** The relay is starting or draining. */
    NOT_READY(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The path names nothing. */
    UNKNOWN_PATH(HttpResponseStatus.NOT_FOUND),
    /** The path does not support the method. */
    WRONG_METHOD(HttpResponseStatus.METHOD_NOT_ALLOWED),
    /** The request is malformed, or a header is missing or invalid. */
    MALFORMED(HttpResponseStatus.BAD_REQUEST),
    /** The body exceeds {@link ClientProtocol#MAX_BODY_BYTES}. */
    TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE),
    /** The request was not received whole in time. */
    REQUEST_TIMEOUT(HttpResponseStatus.REQUEST_TIMEOUT),
    /** The memory for partly received requests is exhausted. */
    OVERLOADED(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The version of HTTP is not supported. */
    WRONG_VERSION(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED);

    private static final double MICROS_PER_SECOND = 1e6;

    private final HttpResponseStatus status;

    ClientResponse(HttpResponseStatus status) {
        this.status = status;
    }

    /** The HTTP status of the response. */
    public HttpResponseStatus status() {
        return status;
    }

    /** Formats a value of {@code Retry-After}: seconds with three decimal places. */
    public static String retryAfter(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / MICROS_PER_SECOND);
    }
}
