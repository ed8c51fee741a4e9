package loftflow.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import loftflow.recordfile.RecordFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Encoding and decoding of journal records; {@code JournalTest} covers records of whole messages. */
class JournalRecordCodecTest {
    private static Message message() {
        return new Message(5, new Message.Content("id", "safe", null, null, 123, 7, new byte[2]));
    }

    private static DataInputStream payload(byte[] record) {
        return new DataInputStream(
                new ByteArrayInputStream(record, RecordFile.HEADER_BYTES, record.length - RecordFile.HEADER_BYTES));
    }

    private static MessageUpdate readUpdate(byte[] record) throws IOException {
        DataInputStream in = payload(record);
        JournalRecordCodec.Header header = JournalRecordCodec.readHeader(in);
        assertEquals(5, header.messageNumber());
        return JournalRecordCodec.readUpdate(header, in);
    }

    @Test
    void updatesAreReadAsWritten() throws IOException {
        Message message = message();
        Message.Attempt attempt = message.addAttempt("r1", 50);
        assertEquals(
                new MessageUpdate.AttemptStarted(0, "r1", 50), readUpdate(JournalRecordCodec.attemptStarted(attempt)));
        attempt.outcome(AttemptOutcome.REJECTED);
        assertEquals(
                new MessageUpdate.AttemptEnded(0, AttemptOutcome.REJECTED),
                readUpdate(JournalRecordCodec.attemptEnded(attempt)));
        assertEquals(new MessageUpdate.Done(), readUpdate(JournalRecordCodec.done(message)));
    }

    @ParameterizedTest
    @CsvSource({"FAILED, 0", "REJECTED, 1", "DELIVERED, 2"})
    void completionIsStoredByItsCode(Message.Completion.Kind kind, int code) throws IOException {
        Message message = message();
        message.complete(new Message.Completion(kind, 250));
        byte[] record = JournalRecordCodec.completionDecided(message);
        assertEquals(code, record[RecordFile.HEADER_BYTES + Byte.BYTES + Long.BYTES]);
        assertEquals(new MessageUpdate.CompletionDecided(message.completion()), readUpdate(record));
    }

    @Test
    void unknownCodesAreRejected() {
        Message message = message();
        message.complete(new Message.Completion(Message.Completion.Kind.FAILED, 0));
        byte[] unknownCompletion = JournalRecordCodec.completionDecided(message);
        unknownCompletion[RecordFile.HEADER_BYTES + Byte.BYTES + Long.BYTES] = 3;
        assertThrows(IOException.class, () -> readUpdate(unknownCompletion));
        byte[] unknownType = JournalRecordCodec.done(message);
        unknownType[RecordFile.HEADER_BYTES] = 99;
        assertThrows(IOException.class, () -> readUpdate(unknownType));
    }

    /** The accepted record of a redriven dead letter includes its attempts, so no attempt records follow it. */
    @Test
    void allRecordsOfAMessageAreReturned() {
        Message redriven = new Message(5, message().content(), 42);
        redriven.addAttempt("r1", 50);
        assertEquals(1, countRecords(JournalRecordCodec.allRecords(redriven)));
        Message attempted = message();
        attempted.addAttempt("r1", 50).outcome(AttemptOutcome.OK);
        attempted.addAttempt("r2", 60);
        attempted.complete(new Message.Completion(Message.Completion.Kind.DELIVERED, 0));
        assertEquals(5, countRecords(JournalRecordCodec.allRecords(attempted)));
    }

    private static int countRecords(byte[] records) {
        ByteBuffer content = ByteBuffer.wrap(records);
        int count = 0;
        while (RecordFile.readNext(content) != null) {
            count++;
        }
        return count;
    }
}
