package loftflow.deadletter.store;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import loftflow.deadletter.DeadLetterStoreException;

/** Transactions and statements on one connection. Not thread-safe. */
final class SqliteSession implements AutoCloseable {
    private final Connection connection;

    SqliteSession(Connection connection) {
        this.connection = connection;
    }

    /** Work within a transaction. */
    interface Work<T> {
        T run() throws SQLException;
    }

    /** Runs work in one transaction, which is rolled back where it fails. */
    <T> T inTransaction(Work<T> work) {
        try {
            connection.setAutoCommit(false);
            try {
                T result = work.run();
                connection.commit();
                connection.setAutoCommit(true);
                return result;
            } catch (SQLException | RuntimeException e) {
                rollBack(e);
                throw e;
            }
        } catch (SQLException e) {
            throw new DeadLetterStoreException("undeliverable: the store fails: " + e.getMessage(), e);
        }
    }

    /**
     * Rolls back. A failure to do so, as on a full disk where the database has rolled back already, is added to the
     * original failure and does not replace it.
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

    /** Executes an update; the number of rows that it changed. */
    int update(String sql, Object... values) throws SQLException {
        try (PreparedStatement statement = prepare(sql, values)) {
            return statement.executeUpdate();
        }
    }

    /** Reads one row. */
    interface RowReader<T> {
        T read(ResultSet row) throws SQLException;
    }

    /** Reads the first row of a query; {@code absent} where there is none. */
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
            throw new DeadLetterStoreException("the store can't be closed: " + e.getMessage(), e);
        }
    }
}
