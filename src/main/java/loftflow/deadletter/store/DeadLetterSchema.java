package loftflow.deadletter.store;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;

/**
 * Schema of the dead-letter database. {@code PRAGMA user_version} holds the schema version; a database of an earlier
 * version is migrated when a relay opens it. Triggers reject changes to the audit trail.
 */
final class DeadLetterSchema {
    private static final int NEW_DATABASE = 0;
    /** Schema version before the column for the ordering key was added. */
    private static final int VERSION_WITHOUT_ORDERING_KEY = 1;

    private static final int VERSION = 2;

    private static final String[] CREATE = {
        "CREATE TABLE entry (id INTEGER PRIMARY KEY AUTOINCREMENT, call_id TEXT NOT NULL, class TEXT NOT NULL,"
                + " tenant TEXT, key TEXT, destination INTEGER NOT NULL, deadline INTEGER NOT NULL, body BLOB NOT NULL,"
                + " kept_at INTEGER NOT NULL, why TEXT NOT NULL, told TEXT NOT NULL, state TEXT NOT NULL,"
                + " ran TEXT NOT NULL, due INTEGER NOT NULL, resends INTEGER NOT NULL DEFAULT 0, word_by TEXT,"
                + " word_reason TEXT, word_tries INTEGER, word_at INTEGER, line TEXT, UNIQUE (call_id, deadline))",
        "CREATE INDEX entry_due ON entry (state, destination, due)",
        "CREATE INDEX entry_kept ON entry (state, kept_at)",
        "CREATE TABLE try (entry INTEGER NOT NULL REFERENCES entry (id) ON DELETE CASCADE, n INTEGER NOT NULL,"
                + " route TEXT NOT NULL, building TEXT NOT NULL, sent_at INTEGER NOT NULL, result TEXT,"
                + " PRIMARY KEY (entry, n)) WITHOUT ROWID",
        "CREATE TABLE audit (id INTEGER PRIMARY KEY AUTOINCREMENT, at INTEGER NOT NULL, who TEXT NOT NULL,"
                + " what TEXT NOT NULL, entry INTEGER NOT NULL, detail TEXT NOT NULL)",
        "CREATE INDEX audit_entry ON audit (entry)",
        "CREATE TRIGGER audit_keeps BEFORE UPDATE ON audit BEGIN SELECT RAISE(ABORT, 'the audit is not changed'); END",
        "CREATE TRIGGER audit_stays BEFORE DELETE ON audit BEGIN SELECT RAISE(ABORT, 'the audit is not removed'); END",
        "PRAGMA user_version = " + VERSION
    };

    private static final String[] ADD_ORDERING_KEY = {
        "ALTER TABLE entry ADD COLUMN line TEXT", "PRAGMA user_version = " + VERSION
    };

    private DeadLetterSchema() {}

    /** Indicates a damaged database, or one with an unsupported schema version. */
    static final class DamagedException extends Exception {
        private static final long serialVersionUID = 1L;

        DamagedException(String message) {
            super(message);
        }
    }

    /** Checks the integrity of a database, then creates or migrates its tables. */
    static void prepare(Connection connection) throws SQLException, DamagedException {
        try (Statement statement = connection.createStatement()) {
            checkIntegrity(statement);
            int version = version(connection);
            if (version == NEW_DATABASE) {
                executeAll(statement, CREATE);
            } else if (version == VERSION_WITHOUT_ORDERING_KEY) {
                executeAll(statement, ADD_ORDERING_KEY);
            } else if (version != VERSION) {
                throw new DamagedException(
                        "unsupported schema version " + version + "; supported version is " + VERSION);
            }
        }
    }

    private static void checkIntegrity(Statement statement) throws SQLException, DamagedException {
        try (ResultSet result = statement.executeQuery("PRAGMA quick_check(1)")) {
            if (!result.next() || !"ok".equals(result.getString(1))) {
                throw new DamagedException("integrity check failed: " + result.getString(1));
            }
        }
    }

    private static int version(Connection connection) throws SQLException {
        try (Statement statement = connection.createStatement();
                ResultSet result = statement.executeQuery("PRAGMA user_version")) {
            return result.next() ? result.getInt(1) : NEW_DATABASE;
        }
    }

    /** Executes all steps in one transaction, so that a crash can't leave a partial schema. */
    private static void executeAll(Statement statement, String[] steps) throws SQLException {
        statement.execute("BEGIN IMMEDIATE");
        for (String step : steps) {
            statement.execute(step);
        }
        statement.execute("COMMIT");
    }

    /** Returns the column expression of the ordering key for a database that is read without migration. */
    static String orderingKeyColumn(Connection connection) throws SQLException {
        return version(connection) == VERSION_WITHOUT_ORDERING_KEY ? "NULL AS line" : "line";
    }
}
