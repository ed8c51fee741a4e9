package loftflow.deadletter.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import loftflow.deadletter.DeadLetterStoreException;
import loftflow.log.Log;
import org.sqlite.SQLiteConfig;

/** Opens the SQLite database file of a folder. A damaged or non-database file is set aside and replaced. */
final class SqliteDatabaseFile {
    private static final int BUSY_TIMEOUT_MILLIS = 2_000;
    private static final String[] SIDE_FILE_SUFFIXES = {"-wal", "-shm"};

    private SqliteDatabaseFile() {}

    /** Opens a file for reading and writing; creates the file and its folder if missing. */
    static Connection open(Path folder, String name, long maxBytes) {
        Path file = folder.resolve(name);
        try {
            Files.createDirectories(folder);
            return connect(file, maxBytes);
        } catch (DeadLetterSchema.DamagedException e) {
            return replace(file, maxBytes, e);
        } catch (SQLException | IOException e) {
            throw new DeadLetterStoreException("deadletter: " + file + " can't be opened: " + e.getMessage(), e);
        }
    }

    /** Opens an existing file for reading only. */
    static Connection openReadOnly(Path file) throws SQLException {
        SQLiteConfig config = new SQLiteConfig();
        config.setReadOnly(true);
        return config.createConnection(url(file));
    }

    private static String url(Path file) {
        return "jdbc:sqlite:" + file;
    }

    private static Connection replace(Path file, long maxBytes, DeadLetterSchema.DamagedException damage) {
        try {
            Path damagedFile = setAside(file);
            Log.line("deadletter: damaged database set aside file=" + file + " as=" + damagedFile.getFileName()
                    + " reason=\"" + damage.getMessage() + "\"");
            return connect(file, maxBytes);
        } catch (SQLException | IOException | DeadLetterSchema.DamagedException e) {
            throw new DeadLetterStoreException("deadletter: " + file + " can't be created: " + e.getMessage(), e);
        }
    }

    private static Path setAside(Path file) throws IOException {
        String name = file.getFileName().toString();
        Path damagedFile = file.resolveSibling(name + ".damaged-" + System.currentTimeMillis());
        Files.move(file, damagedFile, StandardCopyOption.ATOMIC_MOVE);
        for (String suffix : SIDE_FILE_SUFFIXES) {
            Path sideFile = file.resolveSibling(name + suffix);
            if (Files.exists(sideFile)) {
                Files.move(sideFile, damagedFile.resolveSibling(damagedFile.getFileName() + suffix));
            }
        }
        return damagedFile;
    }

    private static Connection connect(Path file, long maxBytes) throws SQLException, DeadLetterSchema.DamagedException {
        SQLiteConfig config = new SQLiteConfig();
        config.setJournalMode(SQLiteConfig.JournalMode.WAL);
        config.setSynchronous(SQLiteConfig.SynchronousMode.NORMAL);
        config.setBusyTimeout(BUSY_TIMEOUT_MILLIS);
        config.enforceForeignKeys(true);
        Connection connection = null;
        try {
            connection = config.createConnection(url(file));
            DeadLetterSchema.prepare(connection);
            limitSize(connection, maxBytes);
            return connection;
        } catch (SQLException e) {
            close(connection);
            if (e.getMessage().contains("NOTADB") || e.getMessage().contains("CORRUPT")) {
                throw new DeadLetterSchema.DamagedException(e.getMessage());
            }
            throw e;
        } catch (DeadLetterSchema.DamagedException e) {
            close(connection);
            throw e;
        }
    }

    private static void close(Connection connection) throws SQLException {
        if (connection != null) {
            connection.close();
        }
    }

    /** Sets a hard size limit, so that the database never uses the disk space reserved for the journal. */
    private static void limitSize(Connection connection, long maxBytes) throws SQLException {
        try (Statement statement = connection.createStatement()) {
            long pageBytes;
            try (ResultSet result = statement.executeQuery("PRAGMA page_size")) {
                pageBytes = result.getLong(1);
            }
            statement.execute("PRAGMA max_page_count = " + Math.max(1, maxBytes / pageBytes));
        }
    }
}
