package loftflow.deadletter.store;

import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.DeadLetterStoreException;
import loftflow.deadletter.ExecutionCertainty;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;

/**
 * A dead-letter store in one SQLite file. Every call is one transaction. In WAL mode, committed changes survive a
 * crash of the process. Not thread-safe.
 */
public final class SqliteDeadLetterStore implements DeadLetterStore {
    /** File name in the state folder. */
    public static final String FILE_NAME = "undeliverable.db";

    private static final String STORED = quoted(DeadLetter.State.STORED);
    private static final String DELIVERED = quoted(DeadLetter.State.DELIVERED);
    private static final String DISCARDED = quoted(DeadLetter.State.DISCARDED);
    /** SQL list of the outcomes that prove whether an attempt was executed. Later outcomes don't replace them. */
    private static final String PROVEN_OUTCOMES = Stream.of(AttemptOutcome.values())
            .filter(outcome -> ExecutionCertainty.of(outcome) != ExecutionCertainty.UNKNOWN)
            .map(outcome -> "'" + outcome.code() + "'")
            .collect(Collectors.joining(", ", "(", ")"));

    private static final String REASON_LATE_RESPONSE = "a late answer";
    private static final long MICROS_PER_MILLI = 1_000;

    private final SqliteSession session;
    private final DeadLetterRows rows;

    private SqliteDeadLetterStore(Connection connection, String orderingKeyColumn) {
        session = new SqliteSession(connection);
        rows = new DeadLetterRows(session, orderingKeyColumn);
    }

    private static String quoted(DeadLetter.State state) {
        return "'" + state.code() + "'";
    }

    /**
     * Opens or creates the database of a folder. A damaged or non-database file is set aside and replaced by a new
     * database.
     *
     * @param maxBytes maximum size of the database; a change that would exceed it fails and is rolled back
     * @throws DeadLetterStoreException if the database can't be opened or created, for example on a full or read-only
     *     disk
     */
    public static SqliteDeadLetterStore open(Path folder, long maxBytes) {
        return new SqliteDeadLetterStore(SqliteDatabaseFile.open(folder, FILE_NAME, maxBytes), "line");
    }

    /**
     * Opens the database of a folder for reading only, such as that of a stopped relay.
     *
     * @throws DeadLetterStoreException if the database does not exist or can't be opened
     */
    public static SqliteDeadLetterStore openReadOnly(Path folder) {
        Path file = folder.resolve(FILE_NAME);
        if (!Files.isRegularFile(file)) {
            throw new DeadLetterStoreException("database does not exist: " + file, null);
        }
        try {
            Connection connection = SqliteDatabaseFile.openReadOnly(file);
            return new SqliteDeadLetterStore(connection, DeadLetterSchema.orderingKeyColumn(connection));
        } catch (SQLException e) {
            throw new DeadLetterStoreException(file + " can't be opened: " + e.getMessage(), e);
        }
    }

    @Override
    public long put(DeadLetter deadLetter) {
        return session.inTransaction(() -> {
            Message.Content content = deadLetter.content();
            int inserted = session.update(
                    "INSERT INTO entry (call_id, class, tenant, key, destination, deadline, body, kept_at, why,"
                            + " told, state, ran, due, line) VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
                            + " ON CONFLICT (call_id, deadline) DO NOTHING",
                    content.messageId(),
                    content.requestClass(),
                    content.tenant(),
                    content.key(),
                    content.destination(),
                    content.deadlineMicros(),
                    content.body(),
                    deadLetter.storedAtMicros(),
                    deadLetter.reason(),
                    deadLetter.clientReply(),
                    deadLetter.state().code(),
                    deadLetter.certainty().code(),
                    deadLetter.dueMicros(),
                    content.orderingKey());
            long id = findId(content.messageId(), content.deadlineMicros()).orElseThrow();
            // After a crash before the journal removed the message, the dead letter is already stored with its
            // attempts.
            if (inserted == 1) {
                rows.insertAttempts(id, 0, deadLetter.attempts());
            }
            return id;
        });
    }

    private OptionalLong findId(String messageId, long deadlineMicros) throws SQLException {
        return session.queryFirst(
                row -> OptionalLong.of(row.getLong(1)),
                OptionalLong.empty(),
                "SELECT id FROM entry WHERE call_id = ? AND deadline = ?",
                messageId,
                deadlineMicros);
    }

    @Override
    public OptionalLong find(String messageId, long deadlineMicros) {
        return session.inTransaction(() -> findId(messageId, deadlineMicros));
    }

    @Override
    public Optional<DeadLetter> get(long id) {
        return session.inTransaction(() -> rows.find(id));
    }

    @Override
    public List<DeadLetter> list(Filter filter, long fromId, int maxEntries, boolean withBodies) {
        StringBuilder sql = new StringBuilder(rows.select(withBodies) + "WHERE id >= ?");
        List<Object> values = new ArrayList<>();
        values.add(fromId);
        appendCondition(
                sql,
                values,
                "state = ?",
                filter.state() == null ? null : filter.state().code());
        appendCondition(sql, values, "destination = ?", filter.destination());
        appendCondition(sql, values, "class = ?", filter.requestClass());
        appendCondition(sql, values, "tenant = ?", filter.tenant());
        appendCondition(
                sql,
                values,
                "ran = ?",
                filter.certainty() == null ? null : filter.certainty().code());
        appendCondition(sql, values, "kept_at >= ?", filter.storedFromMicros() == 0 ? null : filter.storedFromMicros());
        appendCondition(
                sql, values, "kept_at < ?", filter.storedBeforeMicros() == 0 ? null : filter.storedBeforeMicros());
        sql.append(" ORDER BY id LIMIT ?");
        values.add(maxEntries);
        return session.inTransaction(() -> rows.read(sql.toString(), values.toArray()));
    }

    private static void appendCondition(StringBuilder sql, List<Object> values, String condition, Object value) {
        if (value != null) {
            sql.append(" AND ").append(condition);
            values.add(value);
        }
    }

    /** Uses one query per destination, so that the backlog of one destination does not hide the others. */
    @Override
    public List<DeadLetter> findDue(long nowMicros, int afterDestination, int maxEntries) {
        return session.inTransaction(() -> {
            List<DeadLetter> due = new ArrayList<>();
            long destination = afterDestination;
            try (PreparedStatement nextDestination = session.prepare(
                    "SELECT min(destination) FROM entry WHERE state = " + STORED + " AND destination > ?")) {
                while (due.size() < maxEntries) {
                    nextDestination.setLong(1, destination);
                    try (ResultSet result = nextDestination.executeQuery()) {
                        if (!result.next() || result.getObject(1) == null) {
                            break;
                        }
                        destination = result.getLong(1);
                    }
                    due.addAll(rows.read(
                            rows.select(true) + "WHERE state = " + STORED
                                    + " AND destination = ? AND due <= ? ORDER BY due, id LIMIT 1",
                            destination,
                            nowMicros));
                }
            }
            return due;
        });
    }

    @Override
    public long newestMicros() {
        return session.inTransaction(() -> session.queryFirst(
                row -> row.getLong(1),
                0L,
                "SELECT max(coalesce((SELECT max(kept_at) FROM entry), 0),"
                        + " coalesce((SELECT max(sent_at) FROM try), 0))"));
    }

    @Override
    public boolean transition(long id, DeadLetter.State from, DeadLetter.State to, long dueMicros) {
        return session.inTransaction(() -> session.update(
                        "UPDATE entry SET state = ?, due = ? WHERE id = ? AND state = ?",
                        to.code(),
                        dueMicros,
                        id,
                        from.code())
                == 1);
    }

    @Override
    public void recordRedrive(
            long id, List<DeadLetter.Attempt> attempts, DeadLetter.State state, long dueMicros, String reason) {
        session.inTransaction(() -> {
            Optional<DeadLetter> deadLetter = rows.find(id);
            if (deadLetter.isPresent()) {
                rows.insertAttempts(id, deadLetter.get().attempts().size(), attempts);
                // A redrive cancelled because of a proof of execution must not overwrite the delivered state.
                session.update(
                        "UPDATE entry SET state = CASE WHEN state = " + DELIVERED + " THEN state ELSE ? END, due = ?,"
                                + " why = CASE WHEN state = " + DELIVERED + " THEN why ELSE ? END,"
                                + " resends = resends + 1 WHERE id = ?",
                        state.code(),
                        dueMicros,
                        reason,
                        id);
                updateCertainty(id);
            }
            return null;
        });
    }

    @Override
    public void recordOutcome(long id, DeadLetter.Attempt attempt) {
        session.inTransaction(() -> {
            session.update(
                    "UPDATE try SET result = ? WHERE entry = ? AND route = ? AND sent_at = ? AND (result IS NULL OR"
                            + " result NOT IN " + PROVEN_OUTCOMES + ")",
                    DeadLetterRows.outcomeCode(attempt),
                    id,
                    attempt.route(),
                    attempt.sentAtMicros());
            updateCertainty(id);
            if (attempt.certainty() == ExecutionCertainty.EXECUTED) {
                session.update(
                        "UPDATE entry SET state = " + DELIVERED + ", why = ? WHERE id = ? AND state <> " + DELIVERED,
                        REASON_LATE_RESPONSE,
                        id);
            }
            return null;
        });
    }

    /** Updates the certainty column, which filters use and which is derived from the outcomes of all attempts. */
    private void updateCertainty(long id) throws SQLException {
        ExecutionCertainty certainty = rows.find(id).map(DeadLetter::certainty).orElse(ExecutionCertainty.NOT_EXECUTED);
        session.update("UPDATE entry SET ran = ? WHERE id = ?", certainty.code(), id);
    }

    @Override
    public boolean recordConfirmation(long id, DeadLetter.Confirmation confirmation, long dueMicros) {
        return session.inTransaction(() -> session.update(
                        "UPDATE entry SET word_by = ?, word_reason = ?, word_tries = ?, word_at = ?, due = ?"
                                + " WHERE id = ? AND state = " + STORED,
                        confirmation.by(),
                        confirmation.reason(),
                        confirmation.attempts(),
                        confirmation.atMicros(),
                        dueMicros,
                        id)
                == 1);
    }

    @Override
    public void appendAudit(long atMicros, String operator, String action, long id, String detail) {
        session.inTransaction(() -> session.update(
                "INSERT INTO audit (at, who, what, entry, detail) VALUES (?, ?, ?, ?, ?)",
                atMicros,
                operator,
                action,
                id,
                detail));
    }

    @Override
    public List<String> auditTrail(long id) {
        return session.inTransaction(() -> {
            List<String> lines = new ArrayList<>();
            try (PreparedStatement statement =
                            session.prepare("SELECT at, who, what, detail FROM audit WHERE entry = ? ORDER BY id", id);
                    ResultSet result = statement.executeQuery()) {
                while (result.next()) {
                    lines.add(auditLine(result));
                }
            }
            return lines;
        });
    }

    private static String auditLine(ResultSet row) throws SQLException {
        Instant at = Instant.ofEpochMilli(row.getLong(1) / MICROS_PER_MILLI);
        String detail = row.getString(4);
        return at + " " + row.getString(2) + " " + row.getString(3) + (detail.isEmpty() ? "" : ": " + detail);
    }

    @Override
    public int removeSettled(long storedBeforeMicros, int maxEntries) {
        return session.inTransaction(() -> session.update(
                "DELETE FROM entry WHERE id IN (SELECT id FROM entry WHERE state IN (" + DELIVERED + ", " + DISCARDED
                        + ") AND kept_at < ? ORDER BY state, kept_at LIMIT ?)",
                storedBeforeMicros,
                maxEntries));
    }

    @Override
    public Size size() {
        return session.inTransaction(() -> session.queryFirst(
                row -> new Size(row.getLong(1), row.getLong(2), row.getLong(3)),
                new Size(0, 0, 0),
                "SELECT (SELECT count(*) FROM entry), (SELECT page_count - (SELECT freelist_count FROM"
                        + " pragma_freelist_count) FROM pragma_page_count) * (SELECT page_size FROM pragma_page_size),"
                        + " (SELECT coalesce(min(kept_at), 0) FROM entry)"));
    }

    @Override
    public void close() {
        session.close();
    }
}
