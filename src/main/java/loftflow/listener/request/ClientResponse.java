package loftflow.listener.request;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;

/** Every answer that a client may get (PROTOCOL). None has a body. */
public enum ClientResponse {
    /** The relay owes the message its end. */
    TAKEN(HttpResponseStatus.ACCEPTED),
    /** Never run: handing it in again is harmless. */
    REFUSED(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** What became of it is untold. */
    FAILED(HttpResponseStatus.INTERNAL_SERVER_ERROR),
    READY(HttpResponseStatus.OK),
    NOT_READY(HttpResponseStatus.SERVICE_UNAVAILABLE),
    UNKNOWN_PATH(HttpResponseStatus.NOT_FOUND),
    WRONG_METHOD(HttpResponseStatus.METHOD_NOT_ALLOWED),
    MALFORMED(HttpResponseStatus.BAD_REQUEST),
    TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE),
    TOO_SLOW(HttpResponseStatus.REQUEST_TIMEOUT),
    NO_ROOM(HttpResponseStatus.SERVICE_UNAVAILABLE),
    WRONG_VERSION(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED);

    private final HttpResponseStatus status;

    ClientResponse(HttpResponseStatus status) {
        this.status = status;
    }

    /** The status that tells it. */
    public HttpResponseStatus status() {
        return status;
    }

    /** The value of {@code Retry-After} for so many microseconds: seconds with three places. */
    public static String retryAfter(long micros) {
        return String.format(Locale.ROOT, "%.3f", micros / 1e6);
    }
}
