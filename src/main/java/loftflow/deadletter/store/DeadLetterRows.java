package loftflow.deadletter.store;

import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import loftflow.deadletter.DeadLetter;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;

/** Maps rows of the tables {@code entry} and {@code try} to dead letters, and maps attempts to rows. */
final class DeadLetterRows {
    private static final String SELECT_COLUMNS =
            "SELECT id, call_id, class, tenant, key, destination, deadline, kept_at, why,"
                    + " told, state, due, resends, word_by, word_reason, word_tries, word_at, ";
    private static final byte[] NO_BODY = new byte[0];

    private final SqliteSession session;
    private final String selectWithBody;
    private final String selectWithoutBody;

    /**
     * Creates a mapper.
     *
     * @param orderingKeyColumn column expression from {@link DeadLetterSchema#orderingKeyColumn}
     */
    DeadLetterRows(SqliteSession session, String orderingKeyColumn) {
        this.session = session;
        selectWithBody = SELECT_COLUMNS + orderingKeyColumn + ", body FROM entry ";
        selectWithoutBody = SELECT_COLUMNS + orderingKeyColumn + ", NULL AS body FROM entry ";
    }

    /** Returns the start of a query for dead letters, up to and including the FROM clause. */
    String select(boolean withBodies) {
        return withBodies ? selectWithBody : selectWithoutBody;
    }

    /** Returns the dead letter with an id; empty if there is none. */
    Optional<DeadLetter> find(long id) throws SQLException {
        return read(select(true) + "WHERE id = ?", id).stream().findFirst();
    }

    /** Reads dead letters and their attempts. The query must start with {@link #select} and order by id. */
    List<DeadLetter> read(String sql, Object... values) throws SQLException {
        List<DeadLetter> deadLetters = new ArrayList<>();
        try (PreparedStatement statement = session.prepare(sql, values);
                ResultSet rows = statement.executeQuery()) {
            while (rows.next()) {
                deadLetters.add(deadLetter(rows));
            }
        }
        if (!deadLetters.isEmpty()) {
            addAttempts(deadLetters);
        }
        return deadLetters;
    }

    /** Reads columns by index, because the driver looks up a column name again for each value. */
    private static DeadLetter deadLetter(ResultSet row) throws SQLException {
        return new DeadLetter(
                row.getLong(1),
                content(row),
                row.getLong(8),
                row.getString(9),
                row.getString(10),
                DeadLetter.State.ofCode(row.getString(11)),
                row.getLong(12),
                confirmation(row),
                row.getInt(13),
                new ArrayList<>(1));
    }

    private static Message.Content content(ResultSet row) throws SQLException {
        byte[] body = row.getBytes(19);
        return new Message.Content(
                row.getString(2),
                row.getString(3),
                row.getString(4),
                row.getString(5),
                row.getLong(7),
                row.getInt(6),
                body == null ? NO_BODY : body,
                null,
                row.getString(18));
    }

    private static DeadLetter.Confirmation confirmation(ResultSet row) throws SQLException {
        String operator = row.getString(14);
        return operator == null
                ? null
                : new DeadLetter.Confirmation(operator, row.getString(15), row.getInt(16), row.getLong(17));
    }

    /** Adds the attempts to dead letters, which must be in ascending order of id, with one query in the same order. */
    private void addAttempts(List<DeadLetter> deadLetters) throws SQLException {
        long firstId = deadLetters.get(0).id();
        long lastId = deadLetters.get(deadLetters.size() - 1).id();
        try (PreparedStatement statement = session.prepare(
                        "SELECT entry, route, building, sent_at, result FROM try WHERE"
                                + " entry BETWEEN ? AND ? ORDER BY entry, n",
                        firstId,
                        lastId);
                ResultSet rows = statement.executeQuery()) {
            int index = 0;
            while (rows.next()) {
                long id = rows.getLong(1);
                while (index < deadLetters.size() && deadLetters.get(index).id() < id) {
                    index++;
                }
                if (index < deadLetters.size() && deadLetters.get(index).id() == id) {
                    deadLetters.get(index).attempts().add(attempt(rows));
                }
            }
        }
    }

    private static DeadLetter.Attempt attempt(ResultSet row) throws SQLException {
        String outcomeCode = row.getString(5);
        return new DeadLetter.Attempt(
                row.getString(2),
                row.getString(3),
                row.getLong(4),
                outcomeCode == null ? null : AttemptOutcome.ofCode(outcomeCode));
    }

    /** Inserts attempts of a dead letter, numbered consecutively from {@code firstNumber}. */
    void insertAttempts(long id, int firstNumber, List<DeadLetter.Attempt> attempts) throws SQLException {
        int number = firstNumber;
        for (DeadLetter.Attempt attempt : attempts) {
            session.update(
                    "INSERT INTO try (entry, n, route, building, sent_at, result) VALUES (?, ?, ?, ?, ?, ?)",
                    id,
                    number,
                    attempt.route(),
                    attempt.zone(),
                    attempt.sentAtMicros(),
                    outcomeCode(attempt));
            number++;
        }
    }

    /** Returns the stored outcome code of an attempt; null while the outcome is unknown. */
    static String outcomeCode(DeadLetter.Attempt attempt) {
        return attempt.outcome() == null ? null : attempt.outcome().code();
    }
}
