package loftflow.experiment.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.engine.Message;
import loftflow.engine.WriteAheadLog;
import loftflow.policy.api.AttemptOutcome;

/**
 * What a relay has recorded. It outlasts the relay, and gives back messages of its own, so that no more than that does.
 */
final class InMemoryJournal implements WriteAheadLog {
    private record Tried(String route, long sentAt) {}

    private static final class Kept {
        private final Message.Content content;
        private final List<Tried> attempts = new ArrayList<>(2);
        private final List<AttemptOutcome> results = new ArrayList<>(2);
        private Message.Completion end;

        Kept(Message.Content content) {
            this.content = content;
        }

        /** Guards against an attempt that was never recorded, as its time was up: it has a result alone. */
        void upTo(int count) {
            while (attempts.size() < count) {
                attempts.add(new Tried("", 0));
                results.add(AttemptOutcome.NOT_SENT);
            }
        }
    }

    private final Map<Long, Kept> kept = new LinkedHashMap<>();
    private long next;

    @Override
    public long nextSequenceNumber() {
        return next;
    }

    @Override
    public List<Message> openMessages() {
        List<Message> open = new ArrayList<>();
        kept.forEach((number, k) -> {
            Message message = new Message(number, k.content);
            for (int i = 0; i < k.attempts.size(); i++) {
                message.addAttempt(k.attempts.get(i).route(), k.attempts.get(i).sentAt())
                        .outcome(k.results.get(i));
            }
            message.complete(k.end);
            open.add(message);
        });
        return open;
    }

    @Override
    public boolean recordAccepted(Message message) {
        kept.put(message.number(), new Kept(message.content()));
        next = message.number() + 1;
        return true;
    }

    @Override
    public boolean recordAttempt(Message.Attempt attempt) {
        Kept k = kept.get(attempt.message().number());
        k.upTo(attempt.number());
        k.attempts.add(new Tried(attempt.route(), attempt.sentAtMicros()));
        k.results.add(null);
        return true;
    }

    @Override
    public void recordOutcome(Message.Attempt attempt) {
        Kept k = kept.get(attempt.message().number());
        if (k != null) {
            k.upTo(attempt.number() + 1);
            k.results.set(attempt.number(), attempt.outcome());
        }
    }

    @Override
    public void recordCompletion(Message message) {
        kept.get(message.number()).end = message.completion();
    }

    @Override
    public void recordDone(Message message) {
        kept.remove(message.number());
    }
}
