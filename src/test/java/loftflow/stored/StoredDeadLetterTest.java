package loftflow.stored;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Arrays;
import java.util.List;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.ExecutionCertainty;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A dead-letter database that an earlier build left. */
class StoredDeadLetterTest {
    private static final String NAME = "undeliverable.db";
    private static final long LIMIT_BYTES = 1 << 20;
    private static final int ALL = 99;

    @TempDir
    Path folder;

    private Path copy() throws IOException {
        return StoredData.copy("deadletter", folder);
    }

    private static DeadLetterStore open(Path database) {
        return SqliteDeadLetterStore.open(database, LIMIT_BYTES);
    }

    private static List<DeadLetter> list(DeadLetterStore store) {
        return store.list(DeadLetterStore.Filter.ALL, 0, ALL, true);
    }

    private static List<Long> ids(DeadLetterStore store, DeadLetter.State state, ExecutionCertainty certainty) {
        DeadLetterStore.Filter filter = new DeadLetterStore.Filter(state, null, null, null, certainty, 0, 0);
        return store.list(filter, 0, ALL, false).stream().map(DeadLetter::id).toList();
    }

    private static Message.Content content(String id, String tenant, String key, int length) {
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = (byte) i;
        }
        return new Message.Content(id, "settlement", tenant, key, 5_000_123, 9, body);
    }

    private static DeadLetter.Attempt attempt(String route, String zone, long sentAtMicros, String outcomeCode) {
        AttemptOutcome outcome = outcomeCode == null ? null : AttemptOutcome.ofCode(outcomeCode);
        return new DeadLetter.Attempt(route, zone, sentAtMicros, outcome);
    }

    /** An entry for each state; between them, attempts of every outcome and an operator's statement. */
    private static List<DeadLetter> expected() {
        DeadLetter kept = new DeadLetter(
                1,
                content("kept", "grain", "key-1", 5),
                10_000,
                "reset",
                "dead",
                DeadLetter.State.STORED,
                25_000,
                new DeadLetter.Confirmation("an operator", "their log has no such id", 2, 15_000),
                1,
                List.of(
                        attempt("r1", "annex", 50, "TIMEOUT"),
                        attempt("r2", "", 60, "FULL"),
                        attempt("r3", "yard", 80, "RESET")));
        Message.Content ordered =
                new Message.Content("resending", "car-order", null, null, 6_000, 8, new byte[0], null, "line-1");
        DeadLetter resending = new DeadLetter(
                2, ordered, 11_000, "no route", "bounced", DeadLetter.State.REDRIVING, 30_000, null, 0, List.of());
        DeadLetter delivered = new DeadLetter(
                3,
                content("delivered", null, null, 1),
                12_000,
                "a late answer",
                "dead",
                DeadLetter.State.DELIVERED,
                20_000,
                null,
                0,
                List.of(attempt("r1", "annex", 70, "OK")));
        DeadLetter discarded = new DeadLetter(
                4,
                content("discarded", null, null, 1),
                13_000,
                "reset",
                "dead",
                DeadLetter.State.DISCARDED,
                0,
                null,
                0,
                List.of(
                        attempt("route-100", "main-building", 100, "OK"),
                        attempt("route-101", "", 101, "ERROR"),
                        attempt("route-102", "main-building", 102, "FULL"),
                        attempt("route-103", "", 103, "TIMEOUT"),
                        attempt("route-104", "main-building", 104, "CONNECT_FAILED"),
                        attempt("route-105", "", 105, "RESET"),
                        attempt("route-106", "main-building", 106, "CANCELLED"),
                        attempt("route-107", "", 107, "NOT_SENT"),
                        attempt("route-open", "annex", 999, null)));
        return List.of(kept, resending, delivered, discarded);
    }

    private static void assertSame(DeadLetter expected, DeadLetter actual) {
        assertEquals(withoutContent(expected), withoutContent(actual));
        assertEquals(contentFields(expected.content()), contentFields(actual.content()));
        assertArrayEquals(expected.content().body(), actual.content().body());
    }

    /** Record equality compares arrays by identity, so the body is compared apart. */
    private static DeadLetter withoutContent(DeadLetter entry) {
        return new DeadLetter(
                entry.id(),
                null,
                entry.storedAtMicros(),
                entry.reason(),
                entry.clientReply(),
                entry.state(),
                entry.dueMicros(),
                entry.confirmation(),
                entry.redrives(),
                entry.attempts());
    }

    private static List<Object> contentFields(Message.Content content) {
        return Arrays.asList(
                content.messageId(),
                content.requestClass(),
                content.tenant(),
                content.key(),
                content.deadlineMicros(),
                content.destination(),
                content.reply(),
                content.orderingKey());
    }

    @Test
    void entriesOfTheEarlierBuildAreReadWhole() throws IOException {
        try (DeadLetterStore store = open(copy())) {
            List<DeadLetter> entries = list(store);
            assertEquals(4, entries.size());
            for (int i = 0; i < entries.size(); i++) {
                assertSame(expected().get(i), entries.get(i));
            }
            assertEquals(4, store.size().entries());
            assertEquals(13_000, store.newestMicros());
            assertEquals(
                    List.of(1L),
                    store.findDue(25_000, 0, ALL).stream().map(DeadLetter::id).toList());
            assertEquals(List.of(), store.findDue(24_999, 0, ALL));
            assertEquals(2, store.find("resending", 6_000).orElseThrow());
        }
    }

    /** A relay that is stopped leaves a file that the commands read without changing it. */
    @Test
    void entriesOfTheEarlierBuildAreReadFromAReadOnlyDatabase() throws IOException {
        try (DeadLetterStore store = SqliteDeadLetterStore.openReadOnly(copy())) {
            List<DeadLetter> entries = list(store);
            assertEquals(4, entries.size());
            for (int i = 0; i < entries.size(); i++) {
                assertSame(expected().get(i), entries.get(i));
            }
        }
    }

    @Test
    void filtersFindEntriesOfTheEarlierBuild() throws IOException {
        try (DeadLetterStore store = open(copy())) {
            assertEquals(List.of(1L), ids(store, null, ExecutionCertainty.UNKNOWN));
            assertEquals(List.of(2L), ids(store, null, ExecutionCertainty.NOT_EXECUTED));
            assertEquals(List.of(3L, 4L), ids(store, null, ExecutionCertainty.EXECUTED));
            assertEquals(List.of(1L), ids(store, DeadLetter.State.STORED, null));
            assertEquals(List.of(2L), ids(store, DeadLetter.State.REDRIVING, null));
            assertEquals(List.of(3L), ids(store, DeadLetter.State.DELIVERED, null));
            assertEquals(List.of(4L), ids(store, DeadLetter.State.DISCARDED, null));
        }
    }

    @Test
    void auditOfTheEarlierBuildIsReadAndGoesOn() throws IOException {
        try (DeadLetterStore store = open(copy())) {
            assertEquals(
                    List.of(
                            "1970-01-01T00:00:15Z an operator word: their log has no such id",
                            "1970-01-01T00:00:16Z relay resend"),
                    store.auditTrail(1));
            assertEquals(List.of("1970-01-01T00:00:17Z another discard: agreed by telephone"), store.auditTrail(4));
            store.appendAudit(18_000_000, "a third", "discard", 4, "");
            assertEquals(
                    List.of(
                            "1970-01-01T00:00:17Z another discard: agreed by telephone",
                            "1970-01-01T00:00:18Z a third discard"),
                    store.auditTrail(4));
        }
    }

    /** A database that lacks more than its last page is set aside whole, and an empty one takes its place. */
    @Test
    void tornDatabaseIsSetAside() throws IOException {
        Path copy = copy();
        StoredData.tear(copy.resolve(NAME), 5_000);
        assertSetAside(copy);
    }

    @Test
    void databaseThatLacksItsLastByteIsRead() throws IOException {
        Path copy = copy();
        StoredData.tear(copy.resolve(NAME), 1);
        try (DeadLetterStore store = open(copy)) {
            assertEquals(4, list(store).size());
        }
    }

    @Test
    void databaseOfAnUnknownVersionIsSetAside() throws Exception {
        Path copy = copy();
        execute(copy, "PRAGMA user_version = 3");
        assertSetAside(copy);
    }

    private static void assertSetAside(Path copy) throws IOException {
        try (DeadLetterStore store = open(copy)) {
            assertEquals(List.of(), list(store));
            assertEquals(0, store.newestMicros());
        }
        List<String> files = StoredData.files(copy);
        assertEquals(2, files.size(), files.toString());
        assertEquals(NAME, files.get(0));
        assertTrue(files.get(1).matches("undeliverable\\.db\\.damaged-\\d+"), files.toString());
    }

    @Test
    void entryInAnUnknownStateIsRefused() throws Exception {
        Path copy = copy();
        execute(copy, "UPDATE entry SET state = 'LOST' WHERE id = 2");
        try (DeadLetterStore store = open(copy)) {
            assertThrows(IllegalArgumentException.class, () -> list(store));
        }
    }

    @Test
    void attemptOfAnUnknownOutcomeIsRefused() throws Exception {
        Path copy = copy();
        execute(copy, "UPDATE try SET result = 'SHRUG' WHERE entry = 1 AND n = 0");
        try (DeadLetterStore store = open(copy)) {
            assertThrows(IllegalArgumentException.class, () -> list(store));
        }
    }

    private static void execute(Path copy, String sql) throws SQLException {
        try (Connection connection = DriverManager.getConnection("jdbc:sqlite:" + copy.resolve(NAME));
                Statement statement = connection.createStatement()) {
            statement.execute(sql);
        }
    }
}
