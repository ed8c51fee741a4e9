package loftflow.stored;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loftflow.engine.Message;
import loftflow.journal.Journal;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A write-ahead log that an earlier build left. */
class StoredJournalTest {
    private static final String SEGMENT = "journal-0000000000.log";
    private static final long DISK_BYTES = 1 << 20;
    private static final int UNKNOWN_RECORD_TYPE = 99;

    @TempDir
    Path folder;

    private static byte[] body(int length) {
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = (byte) i;
        }
        return body;
    }

    private static Message.Content content(
            String id, String requestClass, String tenant, String key, int destination, int length) {
        return new Message.Content(id, requestClass, tenant, key, 5_000_123, destination, body(length));
    }

    private static Message.Content content(String id, String tenant, String key, Message.Reply reply, String orderKey) {
        return new Message.Content(id, "car-order", tenant, key, 5_000_123, 8, body(2), reply, orderKey);
    }

    private static void attempt(Journal journal, Message message, String route, long atMicros, AttemptOutcome outcome) {
        Message.Attempt attempt = message.addAttempt(route, atMicros);
        assertTrue(journal.recordAttempt(attempt));
        if (outcome != null) {
            attempt.outcome(outcome);
            journal.recordOutcome(attempt);
        }
    }

    /** What the earlier build recorded, call by call; the messages that stay open. */
    private static List<Message> record(Journal journal) {
        List<Message> open = new ArrayList<>();
        Message untried = new Message(1, content("untried", "status-update", "grain", null, 7, 12));
        accept(journal, untried, open);
        Message attempted = new Message(2, content("attempted", "car-order", "potash", "key-2", 8, 0));
        accept(journal, attempted, open);
        long atMicros = 1_000;
        for (String code :
                List.of("OK", "ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "NOT_SENT")) {
            attempt(journal, attempted, "route-" + atMicros, atMicros++, AttemptOutcome.ofCode(code));
        }
        attempt(journal, attempted, "route-open", 2_000, null);
        Message done = new Message(3, content("done", "settlement", null, null, 9, 3));
        assertTrue(journal.recordAccepted(done));
        attempt(journal, done, "r", 1, AttemptOutcome.OK);
        journal.recordDone(done);
        recordDecided(journal, open);
        accept(journal, new Message(7, content("ordered", "grain", "key-7", null, "line-1")), open);
        Message.Reply reply = new Message.Reply("front-1", "amq.gen-1", "corr-8");
        accept(journal, new Message(8, content("for-reply", null, "key-8", reply, null)), open);
        Message.Reply uncorrelated = new Message.Reply("front-1", "amq.gen-1", null);
        accept(
                journal,
                new Message(9, content("for-reply-without-correlation", null, "key-9", uncorrelated, null)),
                open);
        Message redriven = new Message(10, content("sent-again", "settlement", "lumber", null, 9, 4), 77);
        redriven.addAttempt("past-1", 500).outcome(AttemptOutcome.TIMEOUT);
        redriven.addAttempt("past-2", 600);
        accept(journal, redriven, open);
        attempt(journal, redriven, "past-1", 3_000, AttemptOutcome.REJECTED);
        return open;
    }

    private static void accept(Journal journal, Message message, List<Message> open) {
        assertTrue(journal.recordAccepted(message));
        open.add(message);
    }

    private static void recordDecided(Journal journal, List<Message> open) {
        int number = 4;
        for (Message.Completion completion : List.of(
                new Message.Completion(Message.Completion.Kind.FAILED, 0),
                new Message.Completion(Message.Completion.Kind.REJECTED, 250_000),
                new Message.Completion(Message.Completion.Kind.DELIVERED, 0))) {
            Message decided = new Message(number, content("decided-" + number, "settlement", null, null, 9, 1));
            accept(journal, decided, open);
            attempt(journal, decided, "r", 10, AttemptOutcome.TIMEOUT);
            decided.complete(completion);
            journal.recordCompletion(decided);
            number++;
        }
    }

    private static void assertSame(Message expected, Message actual) {
        String id = expected.content().messageId();
        assertEquals(expected.number(), actual.number(), id);
        assertEquals(expected.deadLetterId(), actual.deadLetterId(), id);
        assertEquals(expected.completion(), actual.completion(), id);
        Message.Content wanted = expected.content();
        Message.Content read = actual.content();
        assertEquals(
                Arrays.asList(
                        wanted.messageId(),
                        wanted.requestClass(),
                        wanted.tenant(),
                        wanted.key(),
                        wanted.deadlineMicros(),
                        wanted.destination(),
                        wanted.reply(),
                        wanted.orderingKey()),
                Arrays.asList(
                        read.messageId(),
                        read.requestClass(),
                        read.tenant(),
                        read.key(),
                        read.deadlineMicros(),
                        read.destination(),
                        read.reply(),
                        read.orderingKey()));
        assertArrayEquals(wanted.body(), read.body(), id);
        assertEquals(attempts(expected), attempts(actual), id);
    }

    private static List<String> attempts(Message message) {
        return message.attempts().stream()
                .map(attempt -> attempt.number() + " " + attempt.route() + " " + attempt.sentAtMicros() + " "
                        + attempt.outcome())
                .toList();
    }

    private static List<Long> numbers(List<Message> messages) {
        return messages.stream().map(Message::number).toList();
    }

    /** Number 3 is done; every other message is restored whole, in the order accepted. */
    @Test
    void openMessagesOfAnEarlierBuildAreRestoredWhole() throws IOException {
        List<Message> expected;
        try (Journal journal = new Journal(folder.resolve("new"), DISK_BYTES)) {
            expected = record(journal);
        }
        try (Journal journal = new Journal(StoredData.copy("journal", folder), DISK_BYTES)) {
            List<Message> open = journal.openMessages();
            assertEquals(List.of(1L, 2L, 4L, 5L, 6L, 7L, 8L, 9L, 10L), numbers(open));
            for (int i = 0; i < open.size(); i++) {
                assertSame(expected.get(i), open.get(i));
            }
            assertEquals(11, journal.nextSequenceNumber());
        }
    }

    /** An earlier build can take over again: what is recorded has the same bytes. */
    @Test
    void sameCallsWriteTheBytesOfTheEarlierBuild() throws IOException {
        try (Journal journal = new Journal(folder, DISK_BYTES)) {
            record(journal);
        }
        assertArrayEquals(
                Files.readAllBytes(StoredData.original("journal").resolve(SEGMENT)),
                Files.readAllBytes(folder.resolve(SEGMENT)));
    }

    /** The process ended between the start of a new segment and the removal of the one that it replaces. */
    @Test
    void newestOfTwoSegmentsIsReadAndTheOldOneRemoved() throws IOException {
        Path two = StoredData.copy("journal-two-segments", folder);
        assertEquals(List.of(SEGMENT, "journal-0000000001.log"), StoredData.files(two));
        try (Journal journal = new Journal(two, DISK_BYTES)) {
            List<Message> open = journal.openMessages();
            assertEquals(List.of(1L, 3L), numbers(open));
            assertEquals(List.of("0 r1 5 ERROR"), attempts(open.get(0)));
            assertArrayEquals(body(10), open.get(1).content().body());
            assertEquals(4, journal.nextSequenceNumber());
        }
        assertEquals(List.of("journal-0000000001.log"), StoredData.files(two));
    }

    /** The last record of the file is the outcome of message 10's last attempt. */
    @Test
    void tornTailLosesItsRecordAlone() throws IOException {
        Path torn = StoredData.copy("journal", folder);
        Path segment = torn.resolve(SEGMENT);
        assertEquals(1_799, Files.size(segment));
        StoredData.tear(segment, 1);
        try (Journal journal = new Journal(torn, DISK_BYTES)) {
            List<Message> open = journal.openMessages();
            assertEquals(List.of(1L, 2L, 4L, 5L, 6L, 7L, 8L, 9L, 10L), numbers(open));
            assertEquals(
                    List.of("0 past-1 500 TIMEOUT", "1 past-2 600 null", "2 past-1 3000 null"), attempts(open.get(8)));
        }
        assertEquals(1_772, Files.size(segment));
    }

    /** A record of an unknown type may have been an attempt of its message. */
    @Test
    void unknownRecordOfAnOpenMessageCountsAsAnAttempt() throws IOException {
        List<Message> open = openWithUnknownRecordOf(1);
        assertEquals(List.of(1L, 2L, 4L, 5L, 6L, 7L, 8L, 9L, 10L), numbers(open));
        assertEquals(1, open.get(0).attempts().size());
        assertNull(open.get(0).attempts().get(0).outcome());
        assertEquals("", open.get(0).attempts().get(0).route());
    }

    @Test
    void unknownRecordOfNoOpenMessageTakesItsNumberAlone() throws IOException {
        List<Message> open = openWithUnknownRecordOf(500);
        assertEquals(List.of(1L, 2L, 4L, 5L, 6L, 7L, 8L, 9L, 10L), numbers(open));
        assertTrue(open.get(0).attempts().isEmpty());
        try (Journal journal = new Journal(folder.resolve("journal"), DISK_BYTES)) {
            assertEquals(501, journal.nextSequenceNumber());
        }
    }

    private List<Message> openWithUnknownRecordOf(long number) throws IOException {
        Path copy = StoredData.copy("journal", folder);
        Path segment = copy.resolve(SEGMENT);
        byte[] payload = ByteBuffer.allocate(Byte.BYTES + Long.BYTES)
                .put((byte) UNKNOWN_RECORD_TYPE)
                .putLong(number)
                .array();
        StoredData.appendRecord(segment, payload);
        try (Journal journal = new Journal(copy, DISK_BYTES)) {
            assertEquals(1_816, Files.size(segment), "the record stays in the file");
            return journal.openMessages();
        }
    }
}
