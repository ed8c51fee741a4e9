package loftflow.listener.request;

import java.util.function.Supplier;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.protocol.ClientProtocol;

/** A request and its response, independent of the HTTP version. For use on the event loop only. */
public abstract class Exchange implements Message.ClientReply {
    private static final String POST = "POST";

    private final MessageAcceptor messageAcceptor;
    private Message message;

    /** Creates an exchange that submits its message to an acceptor. */
    protected Exchange(MessageAcceptor messageAcceptor) {
        this.messageAcceptor = messageAcceptor;
    }

    /**
     * Sends the response.
     *
     * @param retryAfterMicros the delay in microseconds after which to resubmit; 0 for no {@code Retry-After}
     */
    protected abstract void respond(ClientResponse response, long retryAfterMicros);

    /**
     * Handles a complete request. The response may be sent before this method returns, or later.
     *
     * @param isDraining whether the listener is shutting down
     * @param content supplies the message in the request, or null if the request is malformed
     * @param unreadSinceMicros the earliest time at which bytes that are read now can have arrived, in microseconds
     */
    public final void handle(
            CharSequence method,
            CharSequence path,
            boolean isDraining,
            Supplier<Message.Content> content,
            long unreadSinceMicros) {
        if (MessageRequest.isMessagePath(path)) {
            if (POST.contentEquals(method)) {
                submit(content.get(), unreadSinceMicros);
            } else {
                respond(ClientResponse.WRONG_METHOD, 0);
            }
        } else if (ClientProtocol.READINESS_PATH.contentEquals(path)) {
            boolean isReady = messageAcceptor.isReady() && !isDraining;
            respond(isReady ? ClientResponse.READY : ClientResponse.NOT_READY, 0);
        } else {
            respond(ClientResponse.UNKNOWN_PATH, 0);
        }
    }

    private void submit(Message.Content content, long unreadSinceMicros) {
        if (content == null || !messageAcceptor.recognizes(content)) {
            respond(ClientResponse.MALFORMED, 0);
        } else {
            message = messageAcceptor.accept(content, unreadSinceMicros, this);
        }
    }

    /** Returns whether a submitted message awaits its response. */
    public final boolean isAwaitingResponse() {
        return message != null;
    }

    /** Detaches the message that awaits its response, and returns it; null if there is none. */
    public final Message releaseMessage() {
        Message released = message;
        message = null;
        return released;
    }

    @Override
    public final void accepted() {
        respond(ClientResponse.ACCEPTED, 0);
    }

    @Override
    public final void rejected(long retryAfterMicros) {
        respond(ClientResponse.REJECTED, retryAfterMicros);
    }

    @Override
    public final void failed() {
        respond(ClientResponse.FAILED, 0);
    }
}
