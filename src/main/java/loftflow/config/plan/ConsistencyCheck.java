package loftflow.config.plan;

import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.schema.TableReader;

/** A group of checks on one subject, which adds its findings to a list. */
abstract class ConsistencyCheck {
    protected final Declaration declared;
    protected final DerivedSettings derived;
    private final List<Finding> findings;

    /**
     * Creates the checks.
     *
     * @param declared what the application file declares
     * @param derived the derived settings, from the planner or from a relay file
     * @param findings to add to
     */
    ConsistencyCheck(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        this.declared = declared;
        this.derived = derived;
        this.findings = findings;
    }

    /** Adds all findings. */
    abstract void run();

    /** Adds an error at a setting of a table. */
    protected final void error(TableReader table, String key, String reason) {
        findings.add(table.at(key).error(reason));
    }

    /** Adds a warning at a setting of a table. */
    protected final void warn(TableReader table, String key, String reason) {
        findings.add(table.at(key).warning(reason));
    }

    /** Adds an error at a derived setting, by its full key. */
    protected final void derivedError(String key, String reason) {
        findings.add(derived.locations().apply(key).error(reason));
    }

    /** A duration as files write it. */
    protected static String duration(long micros) {
        return Units.formatDuration(micros);
    }

    /** Adds an error for each setting of a listener that is for another protocol than its own. */
    protected final void rejectForeignSettings(
            Declaration.Listener front, List<String> keys, String protocolName, String protocol) {
        keys.stream()
                .filter(front.table()::has)
                .forEach(key -> error(
                        front.table(),
                        key,
                        "is for " + protocolName + ", and this front"
                                + " speaks " + (front.isAmqp() ? "AMQP" : front.isHttp2() ? "HTTP/2" : "HTTP")
                                + "; set protocol = \"" + protocol
                                + "\" or leave it out"));
    }
}
