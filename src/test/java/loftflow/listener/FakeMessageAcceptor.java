package loftflow.listener;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;

/** A message acceptor whose responses the test controls, or that accepts everything at once. */
public final class FakeMessageAcceptor implements MessageAcceptor {
    /** A submitted message, and its client. */
    public record Submission(Message message, Message.ClientReply client) {}

    /** Every submission; read by one thread while the event loop adds in constant time, as floods are counted here. */
    public final List<Submission> submissions = Collections.synchronizedList(new ArrayList<>());

    public final Set<String> withdrawn = ConcurrentHashMap.newKeySet();
    private final AtomicLong nextNumber = new AtomicLong();
    /** Messages that go on without their client. */
    public final Set<String> disconnected = ConcurrentHashMap.newKeySet();

    public volatile double utilization;
    public volatile boolean acceptsAll = true;
    /** Runs while a message is being accepted. */
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

    /** The ids of all submissions, in order. */
    public List<String> messageIds() {
        synchronized (submissions) {
            return submissions.stream()
                    .map(submission -> submission.message().content().messageId())
                    .toList();
        }
    }
}
