package loftflow.experiment.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.engine.Message;
import loftflow.engine.WriteAheadLog;
import loftflow.policy.api.AttemptOutcome;

/**
 * A write-ahead log in memory that outlives the relay's process. Recovery returns new message objects built from the
 * records, so that nothing that was not recorded survives a crash.
 */
final class InMemoryJournal implements WriteAheadLog {
    private record RecordedAttempt(String route, long sentAtMicros) {}

    private static final class MessageRecord {
        private final Message.Content content;
        private final List<RecordedAttempt> attempts = new ArrayList<>(2);
        private final List<AttemptOutcome> outcomes = new ArrayList<>(2);
        private Message.Completion completion;

        MessageRecord(Message.Content content) {
            this.content = content;
        }

        /** Fills in attempts that ended without being recorded because the deadline had passed. */
        void padTo(int count) {
            while (attempts.size() < count) {
                attempts.add(new RecordedAttempt("", 0));
                outcomes.add(AttemptOutcome.NOT_SENT);
            }
        }

        Message toMessage(long number) {
            Message message = new Message(number, content);
            for (int i = 0; i < attempts.size(); i++) {
                RecordedAttempt attempt = attempts.get(i);
                message.addAttempt(attempt.route(), attempt.sentAtMicros()).outcome(outcomes.get(i));
            }
            message.complete(completion);
            return message;
        }
    }

    private final Map<Long, MessageRecord> records = new LinkedHashMap<>();
    private long nextSequenceNumber;

    @Override
    public long nextSequenceNumber() {
        return nextSequenceNumber;
    }

    @Override
    public List<Message> openMessages() {
        List<Message> open = new ArrayList<>();
        records.forEach((number, record) -> open.add(record.toMessage(number)));
        return open;
    }

    @Override
    public boolean recordAccepted(Message message) {
        records.put(message.number(), new MessageRecord(message.content()));
        nextSequenceNumber = message.number() + 1;
        return true;
    }

    @Override
    public boolean recordReopened(Message message) {
        recordAccepted(message);
        MessageRecord record = records.get(message.number());
        for (Message.Attempt attempt : message.attempts()) {
            record.attempts.add(new RecordedAttempt(attempt.route(), attempt.sentAtMicros()));
            record.outcomes.add(attempt.outcome());
        }
        return true;
    }

    @Override
    public boolean recordAttempt(Message.Attempt attempt) {
        MessageRecord record = records.get(attempt.message().number());
        record.padTo(attempt.number());
        record.attempts.add(new RecordedAttempt(attempt.route(), attempt.sentAtMicros()));
        record.outcomes.add(null);
        return true;
    }

    @Override
    public void recordOutcome(Message.Attempt attempt) {
        MessageRecord record = records.get(attempt.message().number());
        if (record != null) {
            record.padTo(attempt.number() + 1);
            record.outcomes.set(attempt.number(), attempt.outcome());
        }
    }

    @Override
    public boolean hasUnwrittenRecords() {
        return false;
    }

    @Override
    public boolean recordCompletion(Message message) {
        records.get(message.number()).completion = message.completion();
        return true;
    }

    @Override
    public boolean recordDone(Message message) {
        records.remove(message.number());
        return true;
    }
}
