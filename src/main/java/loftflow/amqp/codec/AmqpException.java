package loftflow.amqp.codec;

/**
 * A protocol error of the peer, or a request that can't be fulfilled, with its reply code (AMQP 0-9-1, section 1.2). It
 * carries no stack trace, as malformed input must stay cheap.
 */
public final class AmqpException extends Exception {
    public static final int CONTENT_TOO_LARGE = 311;
    public static final int NO_ROUTE = 312;
    public static final int CONNECTION_FORCED = 320;
    public static final int ACCESS_REFUSED = 403;
    public static final int NOT_FOUND = 404;
    public static final int PRECONDITION_FAILED = 406;
    public static final int FRAME_ERROR = 501;
    public static final int SYNTAX_ERROR = 502;
    public static final int COMMAND_INVALID = 503;
    public static final int CHANNEL_ERROR = 504;
    public static final int UNEXPECTED_FRAME = 505;
    public static final int NOT_ALLOWED = 530;
    public static final int NOT_IMPLEMENTED = 540;
    private static final long serialVersionUID = 1L;

    private final int code;

    /**
     * Creates an error.
     *
     * @param message the reply text, which is sent to the peer
     */
    public AmqpException(int code, String message) {
        super(message, null, false, false);
        this.code = code;
    }

    /** Returns the reply code. */
    public int code() {
        return code;
    }

    /** Returns true if the error closes only the channel, and false if it closes the connection. */
    public boolean isChannelError() {
        return code == CONTENT_TOO_LARGE || code == NO_ROUTE || code >= ACCESS_REFUSED && code <= PRECONDITION_FAILED;
    }
}
