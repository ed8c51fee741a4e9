package loftflow.listener.request;

import java.util.function.Supplier;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;

/** One request and its one answer, whatever carries them. */
public abstract class Exchange implements Message.ClientReply {
    private final MessageAcceptor intake;
    private Message message;

    protected Exchange(MessageAcceptor intake) {
        this.intake = intake;
    }

    /**
     * Sends the answer.
     *
     * @param retryIn microseconds after which to come back; 0 where that is not known
     */
    protected abstract void answer(ClientResponse answer, long retryIn);

    /**
     * Does what a whole request asks for; the answer may come at once or later.
     *
     * @param draining whether the front is about to end
     * @param content the message in it, or null where it makes no sense
     */
    public final void handle(
            CharSequence method,
            CharSequence path,
            boolean draining,
            Supplier<Message.Content> content,
            long unreadSince) {
        if (MessageRequest.isMessage(path)) {
            if ("POST".contentEquals(method)) {
                takeOn(content.get(), unreadSince);
            } else {
                answer(ClientResponse.WRONG_METHOD, 0);
            }
        } else if ("/-/ready".contentEquals(path)) {
            answer(intake.isReady() && !draining ? ClientResponse.READY : ClientResponse.NOT_READY, 0);
        } else {
            answer(ClientResponse.UNKNOWN_PATH, 0);
        }
    }

    private void takeOn(Message.Content content, long unreadSince) {
        if (content == null || !intake.recognizes(content)) {
            answer(ClientResponse.MALFORMED, 0);
        } else {
            message = intake.accept(content, unreadSince, this);
        }
    }

    /** True where a message was taken on and waits for its answer. */
    public final boolean isWaiting() {
        return message != null;
    }

    /** The message that waits for its answer, which is forgotten here; null where none does. */
    public final Message release() {
        Message waiting = message;
        message = null;
        return waiting;
    }

    @Override
    public final void accepted() {
        answer(ClientResponse.TAKEN, 0);
    }

    @Override
    public final void rejected(long retryIn) {
        answer(ClientResponse.REFUSED, retryIn);
    }

    @Override
    public final void failed() {
        answer(ClientResponse.FAILED, 0);
    }
}
