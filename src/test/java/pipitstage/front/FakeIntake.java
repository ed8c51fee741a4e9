package pipitstage.front.amqp;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import pipitstage.engine.Intake;
import pipitstage.engine.Message;

/** An intake whose answers a test gives, or that takes everything at once. */
final class FakeIntake implements Intake {
    /** A message that was handed in, with whoever waits for the answer. */
    record Handed(Message message, Message.ClientReply client) { }

    final List<Handed> handed = new CopyOnWriteArrayList<>();
    final Set<String> withdrawn = ConcurrentHashMap.newKeySet();
    private final AtomicLong numbers = new AtomicLong();
    volatile boolean takesAll = true;

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public boolean knows(Message.Content content) {
        return content.tenant() == null;
    }

    @Override
    public boolean reaches(int destination) {
        return destination == 7;
    }

    @Override
    public Message takeOn(Message.Content content, long unreadSince, Message.ClientReply client) {
        Message message = new Message(numbers.incrementAndGet(), content);
        handed.add(new Handed(message, client));
        if (takesAll) {
            client.taken();
            return null;
        }
        return message;
    }

    @Override
    public void withdraw(Message message) {
        withdrawn.add(message.content().callId());
    }

    List<String> ids() {
        return handed.stream().map(h -> h.message().content().callId()).toList();
    }
}
