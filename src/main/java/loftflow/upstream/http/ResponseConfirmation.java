package loftflow.upstream.http;

/**
 * Decides when the complete response to a call takes effect on one connection. A response is believed only once its
 * framing and its last byte agree: bytes that follow it may be its own, so that its length did not fit and its status
 * proves nothing. The bytes of one read are judged together; a rejection of a call that must not be repeated is held
 * for longer, since another read may bring more. Not thread-safe.
 */
final class ResponseConfirmation {
    /** The call whose complete response has not taken effect; null if there is none. */
    private UpstreamCall pending;

    private int pendingStatus;
    /** Whether the pending response can only be the one to its call, unless its length does not fit. */
    private boolean isPendingMatched;
    /** The last call whose response took effect; null if the connection has carried another one since. */
    private UpstreamCall confirmed;

    /** Called when the connection carries a call. */
    void onSent() {
        confirmed = null;
    }

    /**
     * Called when the last byte of a response has been received, according to its framing.
     *
     * @param isMatched whether the response can't be the one to another call
     */
    void onResponseComplete(UpstreamCall call, int status, boolean isMatched) {
        pending = call;
        pendingStatus = status;
        isPendingMatched = isMatched;
    }

    /** Returns whether a complete response has not taken effect. */
    boolean isPending() {
        return pending != null;
    }

    /** Returns whether the pending response takes effect only if nothing follows it for a time. */
    boolean mustHold() {
        return pending != null && pending.mustProveRejection() && pending.isRejection();
    }

    /** Returns whether there is a pending response that can't be the one to another call. */
    boolean isMatched() {
        return pending != null && isPendingMatched;
    }

    /** Lets the pending response take effect, if there is one. */
    void confirm() {
        if (pending != null) {
            confirmed = pending;
            pending = null;
            confirmed.onResponseComplete();
        }
    }

    /** Called when bytes were received that belong to no response. */
    void onSurplusBytes() {
        UpstreamCall last = pending == null ? confirmed : pending;
        pending = null;
        confirmed = null;
        if (last != null) {
            last.onSurplusBytes();
        }
    }

    /** Called when a whole response was received that no call awaited; an equal status is the one of a copy. */
    void onSurplusResponse(int status) {
        if (mustHold() && status != pendingStatus) {
            contradict();
        } else {
            confirm();
        }
    }

    /**
     * Called when the connection has ended.
     *
     * @param isEndOfStream whether the host has ended it in an orderly way, so that all it sent has been read
     */
    void onEnd(boolean isEndOfStream) {
        if (isEndOfStream && isPendingMatched) {
            confirm();
        } else {
            contradict();
        }
    }

    private void contradict() {
        if (pending != null) {
            UpstreamCall call = pending;
            pending = null;
            call.onOutcomeContradicted();
        }
    }
}
