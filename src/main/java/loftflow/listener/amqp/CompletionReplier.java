package loftflow.listener.amqp;

import loftflow.engine.Message;

/**
 * A listener that replies with the completions of its messages. A completion is acknowledged to the engine once the
 * client, or the client's queue, has it. For use on the event loop only.
 */
public interface CompletionReplier {
    /** Replies with the completion of a message, at once or as soon as that is possible. */
    void reply(Message message);
}
