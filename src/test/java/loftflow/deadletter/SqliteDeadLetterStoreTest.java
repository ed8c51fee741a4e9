package loftflow.deadletter;

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
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SqliteDeadLetterStoreTest {
    @TempDir
    Path folder;

    private DeadLetterStore shelf;

    private DeadLetterStore open() {
        shelf = SqliteDeadLetterStore.open(folder, 1 << 30);
        return shelf;
    }

    @AfterEach
    void end() {
        if (shelf != null) {
            shelf.close();
        }
    }

    private static DeadLetter entry(String id, int destination, long due, AttemptOutcome... results) {
        List<DeadLetter.Try> tries = java.util.stream.IntStream.range(0, results.length)
                .mapToObj(i -> new DeadLetter.Try("r" + i, "b0", 100 + i, results[i]))
                .toList();
        return new DeadLetter(
                0,
                new Message.Content(id, "unsafe", "acme", null, 500, destination, new byte[] {1, 2, 3}),
                400,
                "timeout",
                "failed",
                DeadLetter.State.KEPT,
                due,
                null,
                0,
                tries);
    }

    @Test
    void entryComesBackWholeAfterAReopening() {
        long id = open().put(entry("m1", 7, 900, AttemptOutcome.REJECTED, null, AttemptOutcome.TIMEOUT));
        shelf.close();
        DeadLetter back = open().get(id).orElseThrow();
        assertEquals("m1", back.content().messageId());
        assertEquals(3, back.content().body().length);
        assertEquals(
                entry("m1", 7, 900, AttemptOutcome.REJECTED, null, AttemptOutcome.TIMEOUT)
                        .tries(),
                back.tries());
        assertEquals(ExecutionCertainty.MAYBE, back.ran());
        assertEquals(
                0,
                shelf.list(DeadLetterStore.Filter.ALL, 0, 9, false)
                        .get(0)
                        .content()
                        .body()
                        .length,
                "bodies when asked");
    }

    private static DeadLetter inLine(String id, String line) {
        return new DeadLetter(
                0,
                new Message.Content(id, "ordered", "acme", null, 500, 7, new byte[] {1}, null, line),
                400,
                "timeout",
                "failed",
                DeadLetter.State.KEPT,
                900,
                null,
                0,
                List.of());
    }

    @Test
    void lineComesBack() {
        long id = open().put(inLine("m1", "track-4"));
        assertEquals("track-4", shelf.get(id).orElseThrow().content().orderingKey());
        assertEquals(
                "track-4",
                shelf.due(1_000, Integer.MIN_VALUE, 9).get(0).content().orderingKey());
    }

    /**
     * A file from before lines were kept is read as it is, and brought up to date when a relay opens it; nothing of it
     * is lost.
     */
    @Test
    void fileWithoutLinesGoesOn() throws SQLException {
        long id = open().put(inLine("m1", "track-4"));
        shelf.close();
        try (Connection db = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(SqliteDeadLetterStore.NAME));
                Statement statement = db.createStatement()) {
            statement.execute("ALTER TABLE entry DROP COLUMN line");
            statement.execute("PRAGMA user_version = 1");
        }
        try (DeadLetterStore read = SqliteDeadLetterStore.reading(folder)) {
            assertEquals(
                    List.of("m1"),
                    read.list(DeadLetterStore.Filter.ALL, 0, 9, true).stream()
                            .map(e -> e.content().messageId())
                            .toList());
        }
        assertNull(open().get(id).orElseThrow().content().orderingKey());
        long next = shelf.put(inLine("m2", "track-5"));
        shelf.close();
        assertEquals("track-5", open().get(next).orElseThrow().content().orderingKey());
    }

    @Test
    void sameMessageTwiceIsOneEntry() {
        long id = open().put(entry("m1", 7, 900, AttemptOutcome.TIMEOUT));
        assertEquals(id, shelf.put(entry("m1", 7, 900, AttemptOutcome.TIMEOUT)));
        assertEquals(1, shelf.size().entries());
        assertEquals(1, shelf.get(id).orElseThrow().tries().size());
    }

    @Test
    void onlyOneOfTwoMovesWins() {
        long id = open().put(entry("m1", 7, 900));
        assertTrue(shelf.move(id, DeadLetter.State.KEPT, DeadLetter.State.RESENDING, 0));
        assertFalse(shelf.move(id, DeadLetter.State.KEPT, DeadLetter.State.RESENDING, 0));
    }

    @Test
    void proofDeliversAndIsNeverTakenBack() {
        long id = open().put(entry("m1", 7, 900, AttemptOutcome.TIMEOUT));
        shelf.learn(id, new DeadLetter.Try("r0", "b0", 100, AttemptOutcome.OK));
        shelf.learn(id, new DeadLetter.Try("r0", "b0", 100, AttemptOutcome.NOT_SENT));
        shelf.resent(id, List.of(), DeadLetter.State.KEPT, 0, "sent again: FULL");
        assertEquals("a late answer", shelf.get(id).orElseThrow().why());
        assertEquals(DeadLetter.State.DELIVERED, shelf.get(id).orElseThrow().state());
        assertEquals(ExecutionCertainty.DID, shelf.get(id).orElseThrow().ran());
        assertEquals(List.of(), shelf.due(Long.MAX_VALUE - 1, Integer.MIN_VALUE, 9));
    }

    @Test
    void backlogOfOneDestinationDoesNotHideTheOthers() {
        open();
        for (int i = 0; i < 100; i++) {
            shelf.put(entry("a" + i, 1, i));
        }
        shelf.put(entry("b", 2, 500));
        shelf.put(entry("c", 3, 5_000));
        assertEquals(
                List.of("a0", "b"),
                shelf.due(1_000, Integer.MIN_VALUE, 64).stream()
                        .map(e -> e.content().messageId())
                        .toList());
    }

    @Test
    void auditIsNeitherChangedNorRemoved() throws SQLException {
        open().audit(1, "clerk", "discard", 7, "posted by hand");
        assertEquals(1, shelf.audits(7).size());
        try (Connection db = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(SqliteDeadLetterStore.NAME));
                Statement statement = db.createStatement()) {
            assertThrows(SQLException.class, () -> statement.execute("UPDATE audit SET who = 'nobody'"));
            assertThrows(SQLException.class, () -> statement.execute("DELETE FROM audit"));
        }
        assertTrue(
                shelf.audits(7).get(0).endsWith("clerk discard: posted by hand"),
                shelf.audits(7).toString());
    }

    @Test
    void fileThatIsNoDatabaseIsSetAsideWhole() throws IOException {
        Path file = folder.resolve(SqliteDeadLetterStore.NAME);
        Files.writeString(file, "no database ".repeat(1_000));
        assertEquals(0, open().size().entries());
        try (var files = Files.list(folder)) {
            Path aside = files.filter(f -> f.toString().contains(".damaged-"))
                    .findFirst()
                    .orElseThrow();
            assertTrue(Files.readString(aside).startsWith("no database"));
        }
    }

    @Test
    void damagedPageIsFoundAtTheStartAndSetAside() throws IOException {
        open();
        for (int i = 0; i < 200; i++) {
            shelf.put(entry("m" + i, 7, 900, AttemptOutcome.TIMEOUT));
        }
        shelf.close();
        Path file = folder.resolve(SqliteDeadLetterStore.NAME);
        byte[] bytes = Files.readAllBytes(file);
        java.util.Arrays.fill(bytes, 4_096, bytes.length, (byte) 0x5a);
        Files.write(file, bytes);
        assertEquals(0, open().size().entries());
        assertEquals(1, shelf.put(entry("new", 7, 1)));
    }

    @Test
    void folderThatIsNoneEndsWithAPlainLine() throws IOException {
        Path file = Files.writeString(folder.resolve("taken"), "");
        String message = assertThrows(
                        DeadLetterStore.ShelfException.class, () -> SqliteDeadLetterStore.open(file, 1 << 30))
                .getMessage();
        assertTrue(message.startsWith("undeliverable: "), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void settledEntriesGoByAgeAndKeptOnesStay() {
        open();
        long delivered = shelf.put(entry("m1", 7, 900, AttemptOutcome.OK));
        long kept = shelf.put(entry("m2", 7, 900, AttemptOutcome.TIMEOUT));
        shelf.move(delivered, DeadLetter.State.KEPT, DeadLetter.State.DELIVERED, 0);
        assertEquals(1, shelf.removeSettled(1_000, 10));
        assertTrue(shelf.get(kept).isPresent() && shelf.get(delivered).isEmpty());
    }

    /** The database's own full: what a full disk makes of it, at the same place in its code. */
    @Test
    void databaseThatCanGrowNoMoreTurnsAwayWholeEntriesAndKeepsTheOthers() {
        shelf = SqliteDeadLetterStore.open(folder, 256 << 10);
        int taken = 0;
        DeadLetterStore.ShelfException full = null;
        while (full == null) {
            try {
                shelf.put(new DeadLetter(
                        0,
                        new Message.Content("m" + taken, "unsafe", null, null, 500 + taken, 7, new byte[3_000]),
                        400,
                        "timeout",
                        "failed",
                        DeadLetter.State.KEPT,
                        0,
                        null,
                        0,
                        List.of(new DeadLetter.Try("r0", "b0", 100, AttemptOutcome.TIMEOUT))));
                taken++;
            } catch (DeadLetterStore.ShelfException e) {
                full = e;
            }
        }
        assertTrue(full.getMessage().contains("full"), full.getMessage());
        assertTrue(taken > 20, "only " + taken);
        assertTrue(shelf.find("m" + taken, 500 + taken).isEmpty(), "nothing of what was turned away is left");
        assertTrue(shelf.size().bytes() <= 256 << 10, shelf.size().toString());
        assertTrue(shelf.move(1, DeadLetter.State.KEPT, DeadLetter.State.DISCARDED, 0));
        assertEquals(1, shelf.removeSettled(Long.MAX_VALUE, 9));
        shelf.put(entry("m-later", 7, 900, AttemptOutcome.REJECTED));
        shelf.close();
        shelf = SqliteDeadLetterStore.open(folder, 256 << 10);
        assertEquals(
                taken, shelf.list(DeadLetterStore.Filter.ALL, 0, 10_000, false).size());
    }
}
