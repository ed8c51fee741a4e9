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

/** Maps rows of the tables {@code entry} and {@code try} to dead letters, and attempts to rows. */
final class DeadLetterRows {
    private static final String COLUMNS = "SELECT id, call_id, class, tenant, key, destination, deadline, kept_at, why,"
            + " told, state, due, resends, word_by, word_reason, word_tries, word_at, ";
    private static final byte[] NO_BODY = new byte[0];

    private final SqliteSession session;
    private final String selectWithBody;
    private final String selectWithoutBody;

    /**
     * A mapper.
     *
     * @param orderingKeyColumn as of {@link DeadLetterSchema#orderingKeyColumn}
     */
    DeadLetterRows(SqliteSession session, String orderingKeyColumn) {
        this.session = session;
        selectWithBody = COLUMNS + orderingKeyColumn + ", body FROM entry ";
        selectWithoutBody = COLUMNS + orderingKeyColumn + ", NULL AS body FROM entry ";
    }

    /** The start of a query of dead letters, up to the table. */
    String select(boolean withBodies) {
        return withBodies ? selectWithBody : selectWithoutBody;
    }

    /** The dead letter with an id. */
    Optional<DeadLetter> find(long id) throws SQLException {
        return read(select(true) + "WHERE id = ?", id).stream().findFirst();
    }

    /** Reads the dead letters of a query, which starts with {@link #select} and orders by id, with their attempts. */
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

    /** Reads columns by number, since the driver looks names up for every value. */
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

    /** Adds the attempts of dead letters, which are in the order of their ids, by one query in the same order. */
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

    /** Inserts attempts of a dead letter, numbered from {@code firstNumber} on. */
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

    /** The stored outcome of an attempt; null while it is not known. */
    static String outcomeCode(DeadLetter.Attempt attempt) {
        return attempt.outcome() == null ? null : attempt.outcome().code();
    }
}
