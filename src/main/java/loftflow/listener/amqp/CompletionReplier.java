package loftflow.listener.amqp;

import loftflow.engine.Message;

/** A front that tells the ends of messages that came by it; each is heard once whoever asked for it has it. */
public interface CompletionReplier {
    /** Tells how a message ended, then or as soon as that can be done. */
    void tell(Message message);
}
