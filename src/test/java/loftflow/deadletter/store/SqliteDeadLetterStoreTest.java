package loftflow.deadletter.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.DeadLetterStoreException;
import loftflow.deadletter.ExecutionCertainty;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the SQLite store: round trips, migration, state transitions, damaged files and size limits. */
class SqliteDeadLetterStoreTest {
    @TempDir
    Path folder;

    private DeadLetterStore store;

    private DeadLetterStore open() {
        store = SqliteDeadLetterStore.open(folder, 1 << 30);
        return store;
    }

    @AfterEach
    void closeStore() {
        if (store != null) {
            store.close();
        }
    }

    private static DeadLetter deadLetter(
            String messageId, int destination, long dueMicros, AttemptOutcome... outcomes) {
        List<DeadLetter.Attempt> attempts = java.util.stream.IntStream.range(0, outcomes.length)
                .mapToObj(i -> new DeadLetter.Attempt("r" + i, "b0", 100 + i, outcomes[i]))
                .toList();
        return new DeadLetter(
                0,
                new Message.Content(messageId, "unsafe", "acme", null, 500, destination, new byte[] {1, 2, 3}),
                400,
                "timeout",
                "failed",
                DeadLetter.State.STORED,
                dueMicros,
                null,
                0,
                attempts);
    }

    @Test
    void deadLetterIsUnchangedAfterReopening() {
        long id = open().put(deadLetter("m1", 7, 900, AttemptOutcome.REJECTED, null, AttemptOutcome.TIMEOUT));
        store.close();
        DeadLetter stored = open().get(id).orElseThrow();
        assertEquals("m1", stored.content().messageId());
        assertEquals(3, stored.content().body().length);
        assertEquals(
                deadLetter("m1", 7, 900, AttemptOutcome.REJECTED, null, AttemptOutcome.TIMEOUT)
                        .attempts(),
                stored.attempts());
        assertEquals(ExecutionCertainty.UNKNOWN, stored.certainty());
        assertEquals(
                0,
                store.list(DeadLetterStore.Filter.ALL, 0, 9, false)
                        .get(0)
                        .content()
                        .body()
                        .length,
                "body is read without being requested");
    }

    private static DeadLetter withOrderingKey(String messageId, String orderingKey) {
        return new DeadLetter(
                0,
                new Message.Content(messageId, "ordered", "acme", null, 500, 7, new byte[] {1}, null, orderingKey),
                400,
                "timeout",
                "failed",
                DeadLetter.State.STORED,
                900,
                null,
                0,
                List.of());
    }

    @Test
    void orderingKeyIsStored() {
        long id = open().put(withOrderingKey("m1", "track-4"));
        assertEquals("track-4", store.get(id).orElseThrow().content().orderingKey());
        assertEquals(
                "track-4",
                store.findDue(1_000, Integer.MIN_VALUE, 9).get(0).content().orderingKey());
    }

    /** A file without the column is readable without migration, and migrated without loss when a relay opens it. */
    @Test
    void fileWithoutOrderingKeysIsMigrated() throws SQLException {
        long id = open().put(withOrderingKey("m1", "track-4"));
        store.close();
        try (Connection connection =
                        DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(SqliteDeadLetterStore.FILE_NAME));
                Statement statement = connection.createStatement()) {
            statement.execute("ALTER TABLE entry DROP COLUMN line");
            statement.execute("PRAGMA user_version = 1");
        }
        try (DeadLetterStore readOnlyStore = SqliteDeadLetterStore.openReadOnly(folder)) {
            assertEquals(
                    List.of("m1"),
                    readOnlyStore.list(DeadLetterStore.Filter.ALL, 0, 9, true).stream()
                            .map(deadLetter -> deadLetter.content().messageId())
                            .toList());
        }
        assertNull(open().get(id).orElseThrow().content().orderingKey());
        long secondId = store.put(withOrderingKey("m2", "track-5"));
        store.close();
        assertEquals("track-5", open().get(secondId).orElseThrow().content().orderingKey());
    }

    @Test
    void storingAMessageTwiceCreatesOneDeadLetter() {
        long id = open().put(deadLetter("m1", 7, 900, AttemptOutcome.TIMEOUT));
        assertEquals(id, store.put(deadLetter("m1", 7, 900, AttemptOutcome.TIMEOUT)));
        assertEquals(1, store.size().entries());
        assertEquals(1, store.get(id).orElseThrow().attempts().size());
    }

    @Test
    void onlyFirstOfTwoEqualTransitionsSucceeds() {
        long id = open().put(deadLetter("m1", 7, 900));
        assertTrue(store.transition(id, DeadLetter.State.STORED, DeadLetter.State.REDRIVING, 0));
        assertFalse(store.transition(id, DeadLetter.State.STORED, DeadLetter.State.REDRIVING, 0));
    }

    @Test
    void proofOfExecutionMarksDeadLetterAsDeliveredPermanently() {
        long id = open().put(deadLetter("m1", 7, 900, AttemptOutcome.TIMEOUT));
        store.recordOutcome(id, new DeadLetter.Attempt("r0", "b0", 100, AttemptOutcome.OK));
        store.recordOutcome(id, new DeadLetter.Attempt("r0", "b0", 100, AttemptOutcome.NOT_SENT));
        store.recordRedrive(id, List.of(), DeadLetter.State.STORED, 0, "sent again: FULL");
        assertEquals("a late answer", store.get(id).orElseThrow().reason());
        assertEquals(DeadLetter.State.DELIVERED, store.get(id).orElseThrow().state());
        assertEquals(ExecutionCertainty.EXECUTED, store.get(id).orElseThrow().certainty());
        assertEquals(List.of(), store.findDue(Long.MAX_VALUE - 1, Integer.MIN_VALUE, 9));
    }

    @Test
    void backlogOfOneDestinationDoesNotHideOthers() {
        open();
        for (int i = 0; i < 100; i++) {
            store.put(deadLetter("a" + i, 1, i));
        }
        store.put(deadLetter("b", 2, 500));
        store.put(deadLetter("c", 3, 5_000));
        assertEquals(
                List.of("a0", "b"),
                store.findDue(1_000, Integer.MIN_VALUE, 64).stream()
                        .map(deadLetter -> deadLetter.content().messageId())
                        .toList());
    }

    @Test
    void auditTrailCannotBeChangedOrRemoved() throws SQLException {
        open().appendAudit(1, "clerk", "discard", 7, "posted by hand");
        assertEquals(1, store.auditTrail(7).size());
        try (Connection connection =
                        DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(SqliteDeadLetterStore.FILE_NAME));
                Statement statement = connection.createStatement()) {
            assertThrows(SQLException.class, () -> statement.execute("UPDATE audit SET who = 'nobody'"));
            assertThrows(SQLException.class, () -> statement.execute("DELETE FROM audit"));
        }
        assertTrue(
                store.auditTrail(7).get(0).endsWith("clerk discard: posted by hand"),
                store.auditTrail(7).toString());
    }

    @Test
    void nonDatabaseFileIsSetAside() throws IOException {
        Path file = folder.resolve(SqliteDeadLetterStore.FILE_NAME);
        Files.writeString(file, "no database ".repeat(1_000));
        assertEquals(0, open().size().entries());
        try (var files = Files.list(folder)) {
            Path damagedFile = files.filter(path -> path.toString().contains(".damaged-"))
                    .findFirst()
                    .orElseThrow();
            assertTrue(Files.readString(damagedFile).startsWith("no database"));
        }
    }

    @Test
    void damagedPageIsDetectedWhenTheStoreIsOpened() throws IOException {
        open();
        for (int i = 0; i < 200; i++) {
            store.put(deadLetter("m" + i, 7, 900, AttemptOutcome.TIMEOUT));
        }
        store.close();
        Path file = folder.resolve(SqliteDeadLetterStore.FILE_NAME);
        byte[] bytes = Files.readAllBytes(file);
        java.util.Arrays.fill(bytes, 4_096, bytes.length, (byte) 0x5a);
        Files.write(file, bytes);
        assertEquals(0, open().size().entries());
        assertEquals(1, store.put(deadLetter("new", 7, 1)));
    }

    @Test
    void openingAFileAsTheFolderFailsWithASingleLineMessage() throws IOException {
        Path file = Files.writeString(folder.resolve("file"), "");
        String message = assertThrows(DeadLetterStoreException.class, () -> SqliteDeadLetterStore.open(file, 1 << 30))
                .getMessage();
        assertTrue(message.startsWith("deadletter: "), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void onlyDeliveredAndDiscardedDeadLettersAreRemovedByAge() {
        open();
        long deliveredId = store.put(deadLetter("m1", 7, 900, AttemptOutcome.OK));
        long undeliveredId = store.put(deadLetter("m2", 7, 900, AttemptOutcome.TIMEOUT));
        store.transition(deliveredId, DeadLetter.State.STORED, DeadLetter.State.DELIVERED, 0);
        assertEquals(1, store.removeSettled(1_000, 10));
        assertTrue(
                store.get(undeliveredId).isPresent() && store.get(deliveredId).isEmpty());
    }

    /** SQLite reports an exceeded size limit through the same code path as a full disk. */
    @Test
    void fullDatabaseRejectsWholeDeadLetterAndRetainsStoredOnes() {
        store = SqliteDeadLetterStore.open(folder, 256 << 10);
        int storedCount = 0;
        DeadLetterStoreException failure = null;
        while (failure == null) {
            try {
                store.put(new DeadLetter(
                        0,
                        new Message.Content(
                                "m" + storedCount, "unsafe", null, null, 500 + storedCount, 7, new byte[3_000]),
                        400,
                        "timeout",
                        "failed",
                        DeadLetter.State.STORED,
                        0,
                        null,
                        0,
                        List.of(new DeadLetter.Attempt("r0", "b0", 100, AttemptOutcome.TIMEOUT))));
                storedCount++;
            } catch (DeadLetterStoreException e) {
                failure = e;
            }
        }
        assertTrue(failure.getMessage().contains("full"), failure.getMessage());
        assertTrue(storedCount > 20, "stored only " + storedCount + " dead letters");
        assertTrue(
                store.find("m" + storedCount, 500 + storedCount).isEmpty(), "rejected dead letter was partly stored");
        assertTrue(store.size().bytes() <= 256 << 10, store.size().toString());
        assertTrue(store.transition(1, DeadLetter.State.STORED, DeadLetter.State.DISCARDED, 0));
        assertEquals(1, store.removeSettled(Long.MAX_VALUE, 9));
        store.put(deadLetter("m-later", 7, 900, AttemptOutcome.REJECTED));
        store.close();
        store = SqliteDeadLetterStore.open(folder, 256 << 10);
        assertEquals(
                storedCount,
                store.list(DeadLetterStore.Filter.ALL, 0, 10_000, false).size());
    }
}
