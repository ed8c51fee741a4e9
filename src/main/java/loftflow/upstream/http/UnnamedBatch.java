package loftflow.upstream.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Awaits the own response of a batch that another response on the connection has ended without naming its messages.
 * What it reports as delivered must not be sent again. Not thread-safe.
 */
final class UnnamedBatch {
    /** The batch; null if there is none. */
    private UpstreamCall call;
    /** The response to no call that is being received; null if there is none. */
    private CallResponse response;

    /** Called when a response has ended a call. */
    void onEnded(UpstreamCall ended) {
        call = ended.isBatch() && !ended.isNamedInResponse() ? ended : null;
    }

    /** Returns the heap memory, in bytes, of the response that is being received. */
    int heldBytes() {
        return response == null ? 0 : response.heldBytes();
    }

    /** Called for each part of a response to no call. */
    void onUnsolicited(HttpObject part) {
        if (call != null && part instanceof HttpResponse head) {
            response = new CallResponse(true);
            response.readHead(head);
        }
        if (response != null && part instanceof HttpContent content) {
            onBody(content);
        }
    }

    private void onBody(HttpContent content) {
        boolean isWithinBounds = response.appendBody(content.content());
        if (isWithinBounds && content instanceof LastHttpContent) {
            call.onLateResponse(response);
        }
        if (!isWithinBounds || content instanceof LastHttpContent) {
            response = null;
        }
    }
}
