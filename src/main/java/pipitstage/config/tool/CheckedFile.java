package pipitstage.config.tool;

import java.util.ArrayList;
import java.util.List;
import pipitstage.config.file.Finding;
import pipitstage.config.file.Node;
import pipitstage.config.file.TomlFile;
import pipitstage.config.plan.Checks;
import pipitstage.config.plan.Declared;
import pipitstage.config.plan.Figures;
import pipitstage.config.plan.Planner;
import pipitstage.config.plan.Surroundings;
import pipitstage.config.schema.Schema;
import pipitstage.config.schema.Section;

/**
 * An application file or a relay file with everything that was found in it.
 *
 * @param node the file as it was read
 * @param declared null where the file can't be read by the schema
 * @param figures of a relay file those it holds, of an application file those derived; null with {@code declared}
 * @param findings in the order of the file
 */
public record CheckedFile(Kind kind, Node node, Declared declared, Figures figures, List<Finding> findings) {
    /** What a file is. */
    public enum Kind {
        APPLICATION,
        RELAY,
        PLATFORM
    }

    /** Reads and checks a text in TOML. A file with any table of derived settings is a relay file. */
    public static CheckedFile of(String file, String text, Surroundings surroundings) {
        List<Finding> findings = new ArrayList<>();
        Node node = TomlFile.read(file, text, findings);
        boolean derived = node.table().keySet().stream()
                .anyMatch(List.of("buffer", "calls", "clients", "journal", "process", "rules")::contains);
        Kind kind = derived ? Kind.RELAY : Kind.APPLICATION;
        Declared declared = null;
        Figures figures = null;
        // Guards against a second report of what the grammar's errors have left out.
        if (findings.isEmpty()) {
            Section top = Section.read(Schema.RELAY, file, node, derived, findings);
            if (!top.isFaulty()) {
                declared = Declared.of(top);
                figures = derived ? Figures.of(top) : Planner.plan(declared).figures();
                findings.addAll(Checks.of(declared, figures, surroundings));
            }
        }
        findings.sort(Finding.IN_ORDER);
        return new CheckedFile(kind, node, declared, figures, List.copyOf(findings));
    }

    /** True where nothing was found that a relay would refuse. */
    public boolean isClean() {
        return findings.stream().noneMatch(Finding::isError);
    }
}
