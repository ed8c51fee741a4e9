package pipitstage.front.amqp;

import pipitstage.engine.Message;

/** A front that tells the ends of messages that came by it; each is heard once whoever asked for it has it. */
public interface Replies {
    /** Tells how a message ended, then or as soon as that can be done. */
    void tell(Message message);
}
