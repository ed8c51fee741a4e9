package loftflow.listener;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import loftflow.engine.Message;
import loftflow.engine.MessageAcceptor;

/** An intake whose answers a test gives, or that takes everything at once. */
public final class FakeMessageAcceptor implements MessageAcceptor {
    /** A message that was handed in, with whoever waits for the answer. */
    public record Handed(Message message, Message.ClientReply client) {}

    /**
     * Read by one thread while the loop adds; adding takes the same time however many there are, as floods are told
     * here.
     */
    public final List<Handed> handed = Collections.synchronizedList(new ArrayList<>());

    public final Set<String> withdrawn = ConcurrentHashMap.newKeySet();
    private final AtomicLong numbers = new AtomicLong();
    /** Messages whose client left, which go on. */
    public final Set<String> left = ConcurrentHashMap.newKeySet();

    public volatile double fullness;
    public volatile boolean takesAll = true;

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
    public Message accept(Message.Content content, long unreadSince, Message.ClientReply client) {
        Message message = new Message(numbers.incrementAndGet(), content);
        handed.add(new Handed(message, client));
        if (takesAll) {
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
        left.add(message.content().messageId());
    }

    @Override
    public double utilization() {
        return fullness;
    }

    /** Of messages that were handed in. */
    public List<String> ids() {
        synchronized (handed) {
            return handed.stream().map(h -> h.message().content().messageId()).toList();
        }
    }
}
