package loftflow.listener;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;

/** A message acceptor that accepts every message at once, or leaves the responses to the test. */
public final class FakeMessageAcceptor implements MessageAcceptor {
    /** A submitted message and the reply port of its client. */
    public record Submission(Message message, Message.ClientReply client) {}

    /**
     * Every submission, in order. The event loop appends while the test thread reads; an append takes constant time, so
     * that tests can send floods of messages.
     */
    public final List<Submission> submissions = Collections.synchronizedList(new ArrayList<>());

    /** The ids of messages that were withdrawn. */
    public final Set<String> withdrawn = ConcurrentHashMap.newKeySet();

    private final AtomicLong nextNumber = new AtomicLong();
    /** The ids of messages whose client disconnected and that continue without it. */
    public final Set<String> disconnected = ConcurrentHashMap.newKeySet();

    public volatile double utilization;
    /** Whether every message is accepted at once; otherwise the test responds to it. */
    public volatile boolean acceptsAll = true;
    /** A hook that runs at the start of each {@link #accept}. */
    public volatile Runnable onAccept = () -> {};

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public boolean recognizes(Message.Content content) {
        return content.tenant() == null;
    }

    @Override
    public boolean hasDestination(int destination) {
        return destination == 7;
    }

    @Override
    public Message accept(Message.Content content, long unreadSinceMicros, Message.ClientReply client) {
        onAccept.run();
        Message message = new Message(nextNumber.incrementAndGet(), content);
        submissions.add(new Submission(message, client));
        if (acceptsAll) {
            client.accepted();
            return null;
        }
        return message;
    }

    @Override
    public void withdraw(Message message) {
        withdrawn.add(message.content().messageId());
    }

    @Override
    public void clientDisconnected(Message message) {
        disconnected.add(message.content().messageId());
    }

    @Override
    public double utilization() {
        return utilization;
    }

    /** Returns the message ids of all submissions, in order. */
    public List<String> messageIds() {
        synchronized (submissions) {
            return submissions.stream()
                    .map(submission -> submission.message().content().messageId())
                    .toList();
        }
    }
}
