package loftflow.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import loftflow.recordfile.RecordFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JournalTest {
    private static final long DISK = 3 << 20;

    @TempDir
    Path folder;

    private static Message message(long number, int bytes) {
        return new Message(number, new Message.Content("id" + number, "safe", "acme", null, 123, 7, new byte[bytes]));
    }

    private List<Message> reopened() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            return journal.openMessages();
        }
    }

    private long used() throws IOException {
        try (var files = Files.list(folder)) {
            return files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512)
                    .sum();
        }
    }

    private Path segment() throws IOException {
        try (var files = Files.list(folder)) {
            return files.findFirst().orElseThrow();
        }
    }

    @Test
    void endsHaveRoomWhereAttemptsHaveNone() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            List<Message> messages = new java.util.ArrayList<>();
            for (int i = 1; i <= 100; i++) {
                messages.add(message(i, 8_000));
                assertTrue(journal.recordAccepted(messages.get(i - 1)));
            }
            int tried = 0;
            while (journal.recordAttempt(messages.get(tried % 100).addAttempt("r", 50))) {
                tried++;
            }
            messages.forEach(journal::recordDone);
            int rewrites = Integer.parseInt(segment().getFileName().toString().replaceAll("\\D", ""));
            assertTrue(rewrites < 10, "written again so often: " + rewrites);
        }
        assertTrue(reopened().isEmpty());
    }

    @Test
    void everythingRecordedComesBack() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            Message first = message(1, 10);
            Message second = message(2, 0);
            assertTrue(journal.recordAccepted(first)
                    && journal.recordAccepted(second)
                    && journal.recordAccepted(message(3, 0)));
            Message.Attempt refused = first.addAttempt("r1", 50);
            assertTrue(journal.recordAttempt(refused));
            refused.outcome(AttemptOutcome.REJECTED);
            journal.recordOutcome(refused);
            assertTrue(journal.recordAttempt(first.addAttempt("r2", 60)));
            second.complete(new Message.Completion(true, 5));
            journal.recordCompletion(second);
            journal.recordDone(message(3, 0));
        }
        List<Message> open = reopened();
        assertEquals(2, open.size());
        Message first = open.get(0);
        assertEquals("id1", first.content().messageId());
        assertEquals(123, first.content().deadlineMicros());
        assertEquals(10, first.content().body().length);
        assertEquals(AttemptOutcome.REJECTED, first.attempts().get(0).outcome());
        assertEquals("r2", first.attempts().get(1).route());
        assertNull(first.attempts().get(1).outcome());
        assertEquals(new Message.Completion(true, 5), open.get(1).completion());
    }

    /** A record that is whole but makes no sense loses nothing behind it; its own message may have been sent. */
    @Test
    void recordThatMakesNoSenseIsPassedOver() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            assertTrue(journal.recordAccepted(message(1, 10)) && journal.recordAccepted(message(2, 10)));
        }
        byte[] senseless = RecordFile.seal(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 99, 0, 0, 0, 0, 0, 0, 0, 1});
        Files.write(segment(), senseless, StandardOpenOption.APPEND);
        try (Journal journal = new Journal(folder, DISK)) {
            assertTrue(journal.recordAccepted(message(3, 10)));
        }
        List<Message> open = reopened();
        assertEquals(List.of(1L, 2L, 3L), open.stream().map(Message::number).toList());
        assertEquals(1, open.get(0).attempts().size());
        assertNull(open.get(0).attempts().get(0).outcome(), "it may have been an attempt");
        assertTrue(open.get(1).attempts().isEmpty());
    }

    @Test
    void tornTailIsCutOffAndWritingGoesOn() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            journal.recordAccepted(message(1, 10));
            journal.recordAccepted(message(2, 1000));
        }
        byte[] all = Files.readAllBytes(segment());
        Files.write(segment(), Arrays.copyOf(all, all.length - 1));
        try (Journal journal = new Journal(folder, DISK)) {
            assertEquals(1, journal.openMessages().size());
            assertTrue(journal.recordAccepted(message(3, 10)));
        }
        assertEquals(List.of(1L, 3L), reopened().stream().map(m -> m.number()).toList());
    }

    @Test
    void recordWithAWrongChecksumIsCutOff() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            journal.recordAccepted(message(1, 10));
        }
        byte[] bytes = Files.readAllBytes(segment());
        bytes[bytes.length - 1] ^= 1;
        Files.write(segment(), bytes, StandardOpenOption.TRUNCATE_EXISTING);
        assertTrue(reopened().isEmpty());
    }

    @Test
    void folderStaysUnderItsLimitWithTheLargestBodies() throws IOException {
        ArrayDeque<Message> held = new ArrayDeque<>();
        int refused = 0;
        long most = 0;
        try (Journal journal = new Journal(folder, DISK)) {
            for (int number = 1; number <= 500; number++) {
                Message message = message(number, 64 << 10);
                if (journal.recordAccepted(message)) {
                    held.add(message);
                    assertTrue(journal.recordAttempt(message.addAttempt("r", 1)));
                } else {
                    refused++;
                    journal.recordDone(held.poll());
                }
                most = Math.max(most, used());
            }
        }
        assertTrue(refused > 100, "refused: " + refused);
        // During a rewrite the new segment, no larger than what is open, stands beside the old one.
        assertTrue(most < 0.5 * DISK, "most on disk: " + most);
        assertEquals(
                held.stream().map(m -> m.number()).toList(),
                reopened().stream().map(m -> m.number()).toList());
    }

    @Test
    void attemptThatCouldNotBeRecordedLeavesTheOthersTheirNumbers() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            Message message = message(1, 10);
            journal.recordAccepted(message);
            message.addAttempt("lost", 1);
            journal.recordAttempt(message.addAttempt("r1", 2));
        }
        Message open = reopened().get(0);
        assertEquals(AttemptOutcome.NOT_SENT, open.attempts().get(0).outcome());
        assertEquals("r1", open.attempts().get(1).route());
    }

    /**
     * An attempt whose time is up before it is recorded has a result alone: what follows it in the journal must not go
     * with it.
     */
    @Test
    void resultOfAnAttemptThatWasNeverRecordedLosesNothingBehindIt() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            Message first = message(1, 10);
            assertTrue(journal.recordAccepted(first));
            Message.Attempt late = first.addAttempt("r1", 50);
            late.outcome(AttemptOutcome.NOT_SENT);
            journal.recordOutcome(late);
            assertTrue(journal.recordAttempt(first.addAttempt("r2", 60)));
            assertTrue(journal.recordAccepted(message(2, 0)));
        }
        List<Message> back = reopened();
        assertEquals(List.of(1L, 2L), back.stream().map(Message::number).toList());
        assertEquals(
                List.of(AttemptOutcome.NOT_SENT),
                back.get(0).attempts().stream()
                        .map(Message.Attempt::outcome)
                        .limit(1)
                        .toList());
        assertEquals(
                List.of("", "r2"),
                back.get(0).attempts().stream().map(Message.Attempt::route).toList());
        assertNull(back.get(0).attempts().get(1).outcome());
    }

    @Test
    void unfinishedRewriteIsPassedOver() throws IOException {
        try (Journal journal = new Journal(folder, DISK)) {
            journal.recordAccepted(message(1, 10));
        }
        Files.writeString(folder.resolve("journal.new"), "half");
        assertEquals(1, reopened().size());
        assertFalse(Files.exists(folder.resolve("journal.new")));
    }

    @Test
    void messageIsNotTakenOnWhereTheDiskIsFull() throws IOException {
        Path full = Path.of("/dev/full");
        assumeTrue(Files.exists(full));
        Files.createSymbolicLink(folder.resolve("journal-0000000000.log"), full);
        try (Journal journal = new Journal(folder, DISK)) {
            assertFalse(journal.recordAccepted(message(1, 10)));
            assertTrue(journal.openMessages().isEmpty());
        }
    }

    @Test
    void messageThatIsSentAgainComesBackWithTheAttemptsThatBindIt() throws IOException {
        Message.Content content = new Message.Content("id1", "unsafe", null, "k", 123, 7, new byte[] {1, 2});
        try (Journal journal = new Journal(folder, DISK)) {
            Message again = new Message(1, content, 42);
            again.addAttempt("r1", 50).outcome(AttemptOutcome.TIMEOUT);
            again.addAttempt("r2", 60);
            assertTrue(journal.recordAccepted(again));
            assertTrue(journal.recordAttempt(again.addAttempt("r1", 70)));
            again.attempts().get(2).outcome(AttemptOutcome.REJECTED);
            journal.recordOutcome(again.attempts().get(2));
        }
        for (int rewrites = 0; rewrites < 2; rewrites++) {
            Message back = reopened().get(0);
            assertEquals(42, back.deadLetterId());
            assertEquals("id1", back.content().messageId());
            assertEquals(
                    Arrays.asList(AttemptOutcome.TIMEOUT, null, AttemptOutcome.REJECTED),
                    back.attempts().stream().map(Message.Attempt::outcome).toList());
            assertEquals(
                    List.of(50L, 60L, 70L),
                    back.attempts().stream().map(Message.Attempt::sentAtMicros).toList());
            try (Journal journal = new Journal(folder, DISK)) {
                for (int i = 0; i < 60; i++) {
                    Message other = message(100 + i, 8_000);
                    assertTrue(journal.recordAccepted(other));
                    journal.recordDone(other);
                }
            }
        }
        assertTrue(!segment().getFileName().toString().equals("journal-0000000000.log"), "it was written anew");
    }
}
