package cacheproxy.lab.experiment;

import cacheproxy.lab.metrics.Outcome;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Outcomes in an SQLite file, each stored atomically, so that an interrupted run, even by SIGKILL, continues with what
 * is missing. An outcome is found only for the same variant, seed and build. Used by one process at a time.
 */
public final class ResultStore implements AutoCloseable {
    /** Version of the tables and of the form of outcomes. */
    private static final int VERSION = 1;

    private final Connection db;

    /** Opens the file, or creates it and its folder. */
    public ResultStore(Path file) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        Files.createDirectories(folder);
        Connection opened = null;
        try {
            opened = DriverManager.getConnection("jdbc:sqlite:" + file);
            try (Statement s = opened.createStatement()) {
                s.execute("PRAGMA locking_mode=EXCLUSIVE");
                s.execute("PRAGMA journal_mode=WAL");
                s.execute("PRAGMA synchronous=FULL");
                int found = version(s);
                if (found != 0 && found != VERSION) {
                    throw new IOException(file + ": of version " + found + ", and this build keeps version " + VERSION);
                }
                s.execute("PRAGMA user_version=" + VERSION);
                s.execute(
                        "CREATE TABLE IF NOT EXISTS outcome (variant TEXT NOT NULL, seed INTEGER NOT NULL,"
                                + " build TEXT NOT NULL, outcome TEXT NOT NULL, PRIMARY KEY (variant, seed, build)) WITHOUT ROWID");
            }
            db = opened;
        } catch (SQLException e) {
            close(opened);
            throw new IOException(file + ": " + e.getMessage(), e);
        } catch (IOException e) {
            close(opened);
            throw e;
        }
    }

    private static void close(Connection c) {
        try {
            if (c != null) {
                c.close();
            }
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int version(Statement s) throws SQLException {
        try (ResultSet r = s.executeQuery("PRAGMA user_version")) {
            return r.next() ? r.getInt(1) : 0;
        }
    }

    /** The stored outcome of a variant, whatever its name, with this seed and build. */
    public synchronized Optional<Outcome> find(Experiment.Variant v, long seed, String build) throws IOException {
        try (PreparedStatement s =
                db.prepareStatement("SELECT outcome FROM outcome WHERE variant = ? AND seed = ? AND build = ?")) {
            s.setString(1, digest(v));
            s.setLong(2, seed);
            s.setString(3, build);
            try (ResultSet r = s.executeQuery()) {
                return r.next()
                        ? Optional.of(ExperimentFile.mapper().readValue(r.getString(1), Outcome.class))
                        : Optional.empty();
            }
        } catch (SQLException e) {
            throw new IOException("results cannot be read: " + e.getMessage(), e);
        }
    }

    /** All stored outcomes of a variant, by build and seed. */
    public synchronized Map<String, SortedMap<Long, Outcome>> all(Experiment.Variant v) throws IOException {
        Map<String, SortedMap<Long, Outcome>> all = new TreeMap<>();
        try (PreparedStatement s = db.prepareStatement("SELECT build, seed, outcome FROM outcome WHERE variant = ?")) {
            s.setString(1, digest(v));
            try (ResultSet r = s.executeQuery()) {
                while (r.next()) {
                    all.computeIfAbsent(r.getString(1), b -> new TreeMap<>())
                            .put(r.getLong(2), ExperimentFile.mapper().readValue(r.getString(3), Outcome.class));
                }
            }
        } catch (SQLException e) {
            throw new IOException("results cannot be read: " + e.getMessage(), e);
        }
        return all;
    }

    /** Stores an outcome; it is on disk when this returns. */
    public synchronized void keep(Experiment.Variant v, Outcome o, String build) throws IOException {
        try (PreparedStatement s = db.prepareStatement("INSERT OR REPLACE INTO outcome VALUES (?, ?, ?, ?)")) {
            s.setString(1, digest(v));
            s.setLong(2, o.seed());
            s.setString(3, build);
            s.setString(4, ExperimentFile.mapper().writeValueAsString(o));
            s.executeUpdate();
        } catch (SQLException e) {
            throw new IOException("results cannot be kept: " + e.getMessage(), e);
        }
    }

    private static String digest(Experiment.Variant v) throws JsonProcessingException {
        String text = ExperimentFile.mapper().writeValueAsString(new Object[] {v.site(), v.faults()});
        return HexFormat.of().formatHex(Build.sha().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public synchronized void close() {
        close(db);
    }
}
