package loftflow.upstream.http;

import java.util.Locale;

/** Why a connection to a host carries no more calls, or was closed. */
enum ConnectionCloseReason {
    /** The host ended the connection. */
    CLOSED_BY_HOST,
    /** The connection failed. */
    CONNECTION_ERROR,
    /** The host announced with its response that it closes the connection. */
    NOT_PERSISTENT,
    IDLE_TIMEOUT,
    /** Another connection needed its place under the connection limit. */
    EVICTED,
    /** The host sent a response that no call awaits. */
    UNSOLICITED_RESPONSE,
    /** The host sent bytes that are no response, or a malformed or incomplete one. */
    MALFORMED_RESPONSE,
    /** The host sent an unsolicited response not long ago. */
    SINGLE_USE,
    /** A call on another connection to the host was reset or timed out. */
    OTHER_CALL_FAILED,
    /** A response that proves a rejection can't be received on the connection. */
    REJECTION_RECEIVED,
    /** The host drains, was removed, or its connections are needed for others. */
    NOT_POOLED,
    /** The call timed out or was cancelled. */
    CALL_ABANDONED,
    /** A message of the call was sent again, and may not be outstanding twice. */
    MESSAGE_REPEATED,
    /** The request could not be written. */
    WRITE_FAILED;

    /** Returns the name in log lines. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
