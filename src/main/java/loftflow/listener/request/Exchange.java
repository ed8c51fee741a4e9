package loftflow.listener.request;

import java.util.function.Supplier;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;
import loftflow.protocol.ClientProtocol;

/** One request and its one response, independent of the version of HTTP. For use on the event loop only. */
public abstract class Exchange implements Message.ClientReply {
    private static final String POST = "POST";

    private final MessageAcceptor messageAcceptor;
    private Message message;

    /** Creates an exchange that submits messages to an acceptor. */
    protected Exchange(MessageAcceptor messageAcceptor) {
        this.messageAcceptor = messageAcceptor;
    }

    /**
     * Sends the response.
     *
     * @param retryAfterMicros when to resubmit; 0 where that is not known
     */
    protected abstract void respond(ClientResponse response, long retryAfterMicros);

    /**
     * Handles a complete request; the response may be sent at once or later.
     *
     * @param isDraining whether the listener is shutting down
     * @param content supplies the message in the request, or null where it is malformed
     * @param unreadSinceMicros since when the bytes may have been pending
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

    /** Returns true where a submitted message awaits its response. */
    public final boolean isAwaitingResponse() {
        return message != null;
    }

    /** Returns and forgets the message that awaits its response; null where there is none. */
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
