package loftflow.deadletter.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.ExecutionCertainty;
import loftflow.engine.Message;
import loftflow.log.Log;
import loftflow.policy.api.AttemptOutcome;
import org.sqlite.SQLiteConfig;

/**
 * A shelf in one SQLite file. Every call is one transaction; in write-ahead mode what is committed outlasts the
 * process.
 * Triggers keep the record of who did what from being changed or removed.
 */
public final class SqliteDeadLetterStore implements DeadLetterStore {
    /** The file's name in the folder that lasts. */
    public static final String NAME = "undeliverable.db";

    private static final int VERSION = 2;
    /** A file of this version keeps no lines; it is brought up to date when a relay opens it. */
    private static final int WITHOUT_LINES = 1;

    private static final int BUSY_MS = 2_000;
    private static final byte[] NO_BODY = new byte[0];

    private static final String[] TABLES = {
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

    private static final String[] LINES = {"ALTER TABLE entry ADD COLUMN line TEXT", "PRAGMA user_version = " + VERSION
    };

    private final Connection db;
    private final String columns;

    private SqliteDeadLetterStore(Connection db, String line) {
        this.db = db;
        columns = COLUMNS + line + ", ";
    }

    /**
     * Opens the file of a folder, or makes it. A file that is no database, or a damaged one, is set aside whole, and
     * service goes on with a new one.
     *
     * @param most bytes that the database itself never grows beyond: what would is turned away whole
     * @throws ShelfException where there can be none, as on a full or read-only disk
     */
    public static SqliteDeadLetterStore open(Path folder, long most) {
        Path file = folder.resolve(NAME);
        try {
            Files.createDirectories(folder);
            return opened(file, most);
        } catch (DamagedException e) {
            return anew(file, most, e);
        } catch (SQLException | IOException e) {
            throw new ShelfException("undeliverable: " + file + " can't be opened: " + e.getMessage(), e);
        }
    }

    private static final class DamagedException extends Exception {
        private static final long serialVersionUID = 1L;

        DamagedException(String message) {
            super(message);
        }
    }

    private static SqliteDeadLetterStore anew(Path file, long most, DamagedException damage) {
        try {
            Path aside = file.resolveSibling(NAME + ".damaged-" + System.currentTimeMillis());
            Files.move(file, aside, StandardCopyOption.ATOMIC_MOVE);
            for (String part : new String[] {"-wal", "-shm"}) {
                Path beside = file.resolveSibling(NAME + part);
                if (Files.exists(beside)) {
                    Files.move(beside, aside.resolveSibling(aside.getFileName() + part));
                }
            }
            Log.line("undeliverable: " + file + " is damaged (" + damage.getMessage() + ") and set aside as "
                    + aside.getFileName());
            return opened(file, most);
        } catch (SQLException | IOException | DamagedException e) {
            throw new ShelfException("undeliverable: " + file + " can't be made: " + e.getMessage(), e);
        }
    }

    private static SqliteDeadLetterStore opened(Path file, long most) throws SQLException, DamagedException {
        SQLiteConfig config = new SQLiteConfig();
        config.setJournalMode(SQLiteConfig.JournalMode.WAL);
        config.setSynchronous(SQLiteConfig.SynchronousMode.NORMAL);
        config.setBusyTimeout(BUSY_MS);
        config.enforceForeignKeys(true);
        Connection db = null;
        try {
            db = config.createConnection("jdbc:sqlite:" + file);
            SqliteDeadLetterStore shelf = new SqliteDeadLetterStore(db, "line");
            shelf.check();
            shelf.bound(most);
            return shelf;
        } catch (SQLException e) {
            close(db);
            if (e.getMessage().contains("NOTADB") || e.getMessage().contains("CORRUPT")) {
                throw new DamagedException(e.getMessage());
            }
            throw e;
        } catch (DamagedException e) {
            close(db);
            throw e;
        }
    }

    /** Opens a file to read it only, such as a stopped relay's. */
    public static SqliteDeadLetterStore reading(Path folder) {
        SQLiteConfig config = new SQLiteConfig();
        config.setReadOnly(true);
        Path file = folder.resolve(NAME);
        if (!Files.isRegularFile(file)) {
            throw new ShelfException("there is no " + file, null);
        }
        try {
            Connection db = config.createConnection("jdbc:sqlite:" + file);
            return new SqliteDeadLetterStore(db, version(db) == WITHOUT_LINES ? "NULL AS line" : "line");
        } catch (SQLException e) {
            throw new ShelfException(file + " can't be opened: " + e.getMessage(), e);
        }
    }

    private static void close(Connection db) throws SQLException {
        if (db != null) {
            db.close();
        }
    }

    private void check() throws SQLException, DamagedException {
        try (Statement statement = db.createStatement()) {
            try (ResultSet result = statement.executeQuery("PRAGMA quick_check(1)")) {
                if (!result.next() || !"ok".equals(result.getString(1))) {
                    throw new DamagedException("its check finds " + result.getString(1));
                }
            }
            int version = version(db);
            if (version == 0) {
                make(statement, TABLES);
            } else if (version == WITHOUT_LINES) {
                make(statement, LINES);
            } else if (version != VERSION) {
                throw new DamagedException("it is of version " + version + ", not " + VERSION);
            }
        }
    }

    private static int version(Connection db) throws SQLException {
        try (Statement statement = db.createStatement();
                ResultSet result = statement.executeQuery("PRAGMA user_version")) {
            return result.next() ? result.getInt(1) : 0;
        }
    }

    /** Guards against a database that takes the disk which the journal needs, whatever else fails to bound it. */
    private void bound(long most) throws SQLException {
        try (Statement statement = db.createStatement()) {
            long page;
            try (ResultSet result = statement.executeQuery("PRAGMA page_size")) {
                page = result.getLong(1);
            }
            statement.execute("PRAGMA max_page_count = " + Math.max(1, most / page));
        }
    }

    /** Guards, by one transaction, against a kill that leaves half of the steps. */
    private void make(Statement statement, String[] steps) throws SQLException {
        statement.execute("BEGIN IMMEDIATE");
        for (String step : steps) {
            statement.execute(step);
        }
        statement.execute("COMMIT");
    }

    private interface Work<T> {
        T run() throws SQLException;
    }

    /** One transaction; nothing of it stays where it fails. */
    private <T> T whole(Work<T> work) {
        try {
            db.setAutoCommit(false);
            try {
                T result = work.run();
                db.commit();
                db.setAutoCommit(true);
                return result;
            } catch (SQLException | RuntimeException e) {
                takeBack(e);
                throw e;
            }
        } catch (SQLException e) {
            throw new ShelfException("undeliverable: the store fails: " + e.getMessage(), e);
        }
    }

    /**
     * Ends a failed transaction. Guards against a failure to do so, as where the disk is full and the database has
     * ended it already, that would hide why it failed.
     */
    private void takeBack(Exception why) {
        try {
            db.rollback();
        } catch (SQLException e) {
            why.addSuppressed(e);
        }
        try {
            db.setAutoCommit(true);
        } catch (SQLException e) {
            why.addSuppressed(e);
        }
    }

    private PreparedStatement prepare(String sql, Object... values) throws SQLException {
        PreparedStatement statement = db.prepareStatement(sql);
        for (int i = 0; i < values.length; i++) {
            statement.setObject(i + 1, values[i]);
        }
        return statement;
    }

    private int change(String sql, Object... values) throws SQLException {
        try (PreparedStatement statement = prepare(sql, values)) {
            return statement.executeUpdate();
        }
    }

    @Override
    public long put(DeadLetter entry) {
        return whole(() -> {
            Message.Content c = entry.content();
            int made = change(
                    "INSERT INTO entry (call_id, class, tenant, key, destination, deadline, body, kept_at, why,"
                            + " told, state, ran, due, line) VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
                            + " ON CONFLICT (call_id, deadline) DO NOTHING",
                    c.messageId(),
                    c.requestClass(),
                    c.tenant(),
                    c.key(),
                    c.destination(),
                    c.deadlineMicros(),
                    c.body(),
                    entry.keptAt(),
                    entry.why(),
                    entry.told(),
                    entry.state().name(),
                    entry.ran().name(),
                    entry.due(),
                    c.orderingKey());
            long id = findNow(c.messageId(), c.deadlineMicros()).orElseThrow();
            // Guards against a second copy of its attempts, where a kill came before the journal forgot the message.
            if (made == 1) {
                add(id, 0, entry.tries());
            }
            return id;
        });
    }

    private void add(long id, int from, List<DeadLetter.Try> tries) throws SQLException {
        int n = from;
        for (DeadLetter.Try t : tries) {
            change(
                    "INSERT INTO try (entry, n, route, building, sent_at, result) VALUES (?, ?, ?, ?, ?, ?)",
                    id,
                    n++,
                    t.route(),
                    t.building(),
                    t.sentAt(),
                    t.result() == null ? null : t.result().code());
        }
    }

    private OptionalLong findNow(String callId, long deadline) throws SQLException {
        try (PreparedStatement statement =
                        prepare("SELECT id FROM entry WHERE call_id = ? AND deadline = ?", callId, deadline);
                ResultSet result = statement.executeQuery()) {
            return result.next() ? OptionalLong.of(result.getLong(1)) : OptionalLong.empty();
        }
    }

    @Override
    public OptionalLong find(String callId, long deadline) {
        return whole(() -> findNow(callId, deadline));
    }

    private static final String COLUMNS = "SELECT id, call_id, class, tenant, key, destination, deadline, kept_at, why,"
            + " told, state, due, resends, word_by, word_reason, word_tries, word_at, ";

    /** Reads by number: names are looked up anew for every value. */
    private static DeadLetter row(ResultSet r) throws SQLException {
        byte[] body = r.getBytes(19);
        String by = r.getString(14);
        DeadLetter.Word word =
                by == null ? null : new DeadLetter.Word(by, r.getString(15), r.getInt(16), r.getLong(17));
        return new DeadLetter(
                r.getLong(1),
                new Message.Content(
                        r.getString(2),
                        r.getString(3),
                        r.getString(4),
                        r.getString(5),
                        r.getLong(7),
                        r.getInt(6),
                        body == null ? NO_BODY : body,
                        null,
                        r.getString(18)),
                r.getLong(8),
                r.getString(9),
                r.getString(10),
                DeadLetter.State.valueOf(r.getString(11)),
                r.getLong(12),
                word,
                r.getInt(13),
                new ArrayList<>(1));
    }

    private List<DeadLetter> read(PreparedStatement statement) throws SQLException {
        List<DeadLetter> entries = new ArrayList<>();
        try (statement;
                ResultSet r = statement.executeQuery()) {
            while (r.next()) {
                entries.add(row(r));
            }
        }
        if (!entries.isEmpty()) {
            addTries(entries);
        }
        return entries;
    }

    /** Fills the attempts of entries, which are in the order of their numbers, by one query in the same order. */
    private void addTries(List<DeadLetter> entries) throws SQLException {
        try (PreparedStatement statement = prepare(
                        "SELECT entry, route, building, sent_at, result FROM try WHERE"
                                + " entry BETWEEN ? AND ? ORDER BY entry, n",
                        entries.get(0).id(),
                        entries.get(entries.size() - 1).id());
                ResultSet r = statement.executeQuery()) {
            int at = 0;
            while (r.next()) {
                long id = r.getLong(1);
                while (at < entries.size() && entries.get(at).id() < id) {
                    at++;
                }
                if (at < entries.size() && entries.get(at).id() == id) {
                    String result = r.getString(5);
                    entries.get(at)
                            .tries()
                            .add(new DeadLetter.Try(
                                    r.getString(2),
                                    r.getString(3),
                                    r.getLong(4),
                                    result == null ? null : AttemptOutcome.ofCode(result)));
                }
            }
        }
    }

    @Override
    public Optional<DeadLetter> get(long id) {
        return whole(() -> one(id));
    }

    private Optional<DeadLetter> one(long id) throws SQLException {
        return read(prepare(columns + "body FROM entry WHERE id = ?", id)).stream()
                .findFirst();
    }

    @Override
    public List<DeadLetter> list(Filter f, long from, int most, boolean bodies) {
        List<Object> values = new ArrayList<>();
        StringBuilder sql =
                new StringBuilder(columns + (bodies ? "body" : "NULL AS body") + " FROM entry WHERE id >= ?");
        values.add(from);
        and(sql, values, " AND state = ?", f.state() == null ? null : f.state().name());
        and(sql, values, " AND destination = ?", f.destination());
        and(sql, values, " AND class = ?", f.requestClass());
        and(sql, values, " AND tenant = ?", f.tenant());
        and(sql, values, " AND ran = ?", f.ran() == null ? null : f.ran().name());
        and(sql, values, " AND kept_at >= ?", f.newer() == 0 ? null : f.newer());
        and(sql, values, " AND kept_at < ?", f.older() == 0 ? null : f.older());
        sql.append(" ORDER BY id LIMIT ?");
        values.add(most);
        return whole(() -> read(prepare(sql.toString(), values.toArray())));
    }

    private static void and(StringBuilder sql, List<Object> values, String clause, Object value) {
        if (value != null) {
            sql.append(clause);
            values.add(value);
        }
    }

    /** By destination, so that the backlog of one does not hide the others. */
    @Override
    public List<DeadLetter> due(long now, int after, int most) {
        return whole(() -> {
            List<DeadLetter> due = new ArrayList<>();
            long destination = after;
            try (PreparedStatement next = db.prepareStatement(
                    "SELECT min(destination) FROM entry WHERE state = 'KEPT'" + " AND destination > ?")) {
                while (due.size() < most) {
                    next.setLong(1, destination);
                    try (ResultSet r = next.executeQuery()) {
                        if (!r.next() || r.getObject(1) == null) {
                            break;
                        }
                        destination = r.getLong(1);
                    }
                    due.addAll(read(prepare(
                            columns + "body FROM entry WHERE state = 'KEPT' AND destination = ? AND"
                                    + " due <= ? ORDER BY due, id LIMIT 1",
                            destination,
                            now)));
                }
            }
            return due;
        });
    }

    @Override
    public long newest() {
        return whole(() -> {
            try (Statement statement = db.createStatement();
                    ResultSet r = statement.executeQuery("SELECT max(coalesce("
                            + "(SELECT max(kept_at) FROM entry), 0), coalesce((SELECT max(sent_at) FROM try), 0))")) {
                return r.next() ? r.getLong(1) : 0;
            }
        });
    }

    @Override
    public boolean move(long id, DeadLetter.State from, DeadLetter.State to, long due) {
        return whole(() -> change(
                        "UPDATE entry SET state = ?, due = ? WHERE id = ? AND state = ?",
                        to.name(),
                        due,
                        id,
                        from.name())
                == 1);
    }

    @Override
    public void resent(long id, List<DeadLetter.Try> more, DeadLetter.State state, long due, String why) {
        whole(() -> {
            DeadLetter entry = one(id).orElse(null);
            if (entry != null) {
                add(id, entry.tries().size(), more);
                // Guards against a resend that is recalled and would write over the proof that recalled it.
                change(
                        "UPDATE entry SET state = CASE WHEN state = 'DELIVERED' THEN state ELSE ? END, due = ?,"
                                + " why = CASE WHEN state = 'DELIVERED' THEN why ELSE ? END, resends = resends + 1 WHERE id = ?",
                        state.name(),
                        due,
                        why,
                        id);
                settleRan(id);
            }
            return null;
        });
    }

    @Override
    public void learn(long id, DeadLetter.Try more) {
        whole(() -> {
            change(
                    "UPDATE try SET result = ? WHERE entry = ? AND route = ? AND sent_at = ? AND (result IS NULL OR"
                            + " result NOT IN ('OK', 'FULL', 'CONNECT_FAILED', 'NOT_SENT'))",
                    more.result() == null ? null : more.result().code(),
                    id,
                    more.route(),
                    more.sentAt());
            settleRan(id);
            if (more.ran() == ExecutionCertainty.DID) {
                change(
                        "UPDATE entry SET state = 'DELIVERED', why = 'a late answer' WHERE id = ? AND state <>"
                                + " 'DELIVERED'",
                        id);
            }
            return null;
        });
    }

    /** What is known of all attempts together, for filters. */
    private void settleRan(long id) throws SQLException {
        ExecutionCertainty ran = one(id).map(DeadLetter::ran).orElse(ExecutionCertainty.NEVER);
        change("UPDATE entry SET ran = ? WHERE id = ?", ran.name(), id);
    }

    @Override
    public boolean word(long id, DeadLetter.Word word, long due) {
        return whole(() -> change(
                        "UPDATE entry SET word_by = ?, word_reason = ?, word_tries = ?, word_at = ?, due = ?"
                                + " WHERE id = ? AND state = 'KEPT'",
                        word.by(),
                        word.reason(),
                        word.tries(),
                        word.at(),
                        due,
                        id)
                == 1);
    }

    @Override
    public void audit(long at, String who, String what, long id, String detail) {
        whole(() -> change(
                "INSERT INTO audit (at, who, what, entry, detail) VALUES (?, ?, ?, ?, ?)", at, who, what, id, detail));
    }

    @Override
    public List<String> audits(long id) {
        return whole(() -> {
            List<String> lines = new ArrayList<>();
            try (PreparedStatement statement =
                            prepare("SELECT at, who, what, detail FROM audit WHERE entry = ?" + " ORDER BY id", id);
                    ResultSet r = statement.executeQuery()) {
                while (r.next()) {
                    lines.add(java.time.Instant.ofEpochMilli(r.getLong(1) / 1000) + " " + r.getString(2) + " "
                            + r.getString(3) + (r.getString(4).isEmpty() ? "" : ": " + r.getString(4)));
                }
            }
            return lines;
        });
    }

    @Override
    public int removeSettled(long olderThan, int most) {
        return whole(() -> change(
                "DELETE FROM entry WHERE id IN (SELECT id FROM entry WHERE state IN ('DELIVERED',"
                        + " 'DISCARDED') AND kept_at < ? ORDER BY state, kept_at LIMIT ?)",
                olderThan,
                most));
    }

    @Override
    public Size size() {
        return whole(() -> {
            try (Statement statement = db.createStatement();
                    ResultSet r = statement.executeQuery("SELECT (SELECT count(*) FROM entry), (SELECT page_count -"
                            + " (SELECT freelist_count FROM pragma_freelist_count) FROM pragma_page_count) * (SELECT"
                            + " page_size FROM pragma_page_size), (SELECT coalesce(min(kept_at), 0) FROM entry)")) {
                r.next();
                return new Size(r.getLong(1), r.getLong(2), r.getLong(3));
            }
        });
    }

    @Override
    public void close() {
        try {
            db.close();
        } catch (SQLException e) {
            throw new ShelfException("undeliverable: the store can't be closed: " + e.getMessage(), e);
        }
    }
}
