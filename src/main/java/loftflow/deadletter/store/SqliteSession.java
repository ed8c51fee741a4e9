package loftflow.deadletter.store;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import loftflow.deadletter.DeadLetterStoreException;

/** Runs transactions and statements on one SQLite connection. Not thread-safe. */
final class SqliteSession implements AutoCloseable {
    private final Connection connection;

    SqliteSession(Connection connection) {
        this.connection = connection;
    }

    /** Body of a transaction. */
    interface TransactionBody<T> {
        T run() throws SQLException;
    }

    /**
     * Runs a body in one transaction, which is rolled back if the body fails.
     *
     * @throws DeadLetterStoreException if the database fails
     */
    <T> T inTransaction(TransactionBody<T> body) {
        try {
            connection.setAutoCommit(false);
            try {
                T result = body.run();
                connection.commit();
                connection.setAutoCommit(true);
                return result;
            } catch (SQLException | RuntimeException e) {
                rollBack(e);
                throw e;
            }
        } catch (SQLException e) {
            throw new DeadLetterStoreException("dead-letter store operation failed: " + e.getMessage(), e);
        }
    }

    /**
     * Rolls back the transaction. The rollback itself can fail, for example on a full disk, when the database has
     * already rolled back. Such a failure is added to the original one as a suppressed exception.
     */
    private void rollBack(Exception failure) {
        try {
            connection.rollback();
        } catch (SQLException e) {
            failure.addSuppressed(e);
        }
        try {
            connection.setAutoCommit(true);
        } catch (SQLException e) {
            failure.addSuppressed(e);
        }
    }

    PreparedStatement prepare(String sql, Object... values) throws SQLException {
        PreparedStatement statement = connection.prepareStatement(sql);
        for (int i = 0; i < values.length; i++) {
            statement.setObject(i + 1, values[i]);
        }
        return statement;
    }

    /** Executes an update and returns the number of changed rows. */
    int update(String sql, Object... values) throws SQLException {
        try (PreparedStatement statement = prepare(sql, values)) {
            return statement.executeUpdate();
        }
    }

    /** Converts the current row of a result set to a value. */
    interface RowReader<T> {
        T read(ResultSet row) throws SQLException;
    }

    /** Returns the value of the first row of a query; {@code absent} if there are no rows. */
    <T> T queryFirst(RowReader<T> reader, T absent, String sql, Object... values) throws SQLException {
        try (PreparedStatement statement = prepare(sql, values);
                ResultSet result = statement.executeQuery()) {
            return result.next() ? reader.read(result) : absent;
        }
    }

    @Override
    public void close() {
        try {
            connection.close();
        } catch (SQLException e) {
            throw new DeadLetterStoreException("dead-letter store can't be closed: " + e.getMessage(), e);
        }
    }
}
