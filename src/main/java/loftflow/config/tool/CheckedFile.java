package loftflow.config.tool;

import java.util.ArrayList;
import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Node;
import loftflow.config.file.TomlFile;
import loftflow.config.plan.ConsistencyChecks;
import loftflow.config.plan.Declaration;
import loftflow.config.plan.DerivedSettings;
import loftflow.config.plan.MachineInspector;
import loftflow.config.plan.Planner;
import loftflow.config.schema.Schema;
import loftflow.config.schema.TableReader;

/**
 * An application file or a relay file with everything that was found in it.
 *
 * @param node the file as it was read
 * @param declared null where the file can't be read by the schema
 * @param figures of a relay file those it holds, of an application file those derived; null with {@code declared}
 * @param findings in the order of the file
 */
public record CheckedFile(Kind kind, Node node, Declaration declared, DerivedSettings figures, List<Finding> findings) {
    /** What a file is. */
    public enum Kind {
        APPLICATION,
        RELAY,
        PLATFORM
    }

    /** Reads and checks a text in TOML. A file with any table of derived settings is a relay file. */
    public static CheckedFile of(String file, String text, MachineInspector surroundings) {
        List<Finding> findings = new ArrayList<>();
        Node node = TomlFile.read(file, text, findings);
        boolean derived = node.table().keySet().stream()
                .anyMatch(List.of("buffer", "calls", "clients", "journal", "process", "rules")::contains);
        Kind kind = derived ? Kind.RELAY : Kind.APPLICATION;
        Declaration declared = null;
        DerivedSettings figures = null;
        // Guards against a second report of what the grammar's errors have left out.
        if (findings.isEmpty()) {
            TableReader top = TableReader.read(Schema.RELAY, file, node, derived, findings);
            if (!top.isFaulty()) {
                declared = Declaration.of(top);
                figures = derived
                        ? DerivedSettings.of(top)
                        : Planner.plan(declared).figures();
                findings.addAll(ConsistencyChecks.of(declared, figures, surroundings));
            }
        }
        findings.sort(Finding.BY_POSITION);
        return new CheckedFile(kind, node, declared, figures, List.copyOf(findings));
    }

    /** True where nothing was found that a relay would refuse. */
    public boolean isClean() {
        return findings.stream().noneMatch(Finding::isError);
    }
}
