package loftflow.experiment.scenario;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.schema.TableReader;

/** Reads one failure of a scenario file and reports contradictions with the rest of the scenario. */
final class FailureReader {
    private final TableReader table;
    private final List<Scenario.PartnerGroup> groups;
    private final Set<String> zones;
    private final long restartMicros;
    private final long runDurationMicros;
    private final List<Finding> findings;
    private final FailureKind kind;

    /**
     * Creates a reader.
     *
     * @param scenarioTable the top table of the file
     * @param table the failure's table
     * @param groups all groups of the scenario
     * @param zones all zones of the scenario
     * @param findings to add to
     */
    FailureReader(
            TableReader scenarioTable,
            TableReader table,
            List<Scenario.PartnerGroup> groups,
            Set<String> zones,
            List<Finding> findings) {
        this.table = table;
        this.groups = groups;
        this.zones = zones;
        this.findings = findings;
        restartMicros = scenarioTable.table("fleet").whole("restart");
        runDurationMicros = scenarioTable.whole("span");
        kind = FailureKind.ofCode(table.text("kind"));
    }

    Scenario.Failure read() {
        checkScope();
        checkParameters();
        checkReducedLimit();
        checkTimes();
        return new Scenario.Failure(
                kind,
                table.whole("at"),
                table.whole("lasts"),
                table.number("hazard"),
                table.number("share"),
                table.text("group"),
                table.text("building"),
                table.number("factor"),
                table.number("part"));
    }

    private void error(String key, String reason) {
        findings.add(table.at(key).error(reason));
    }

    private void checkScope() {
        if (table.has("group") && !hasGroup(group -> group.name().equals(table.text("group")))) {
            error("group", "there is no group " + table.text("group"));
        }
        if (table.has("building") && !zones.contains(table.text("building"))) {
            error("building", "no endpoint stands in " + table.text("building"));
        }
        if (!kind.affectsEndpoints() && (table.has("group") || table.has("building"))) {
            error(
                    table.has("group") ? "group" : "building",
                    "says nothing of " + table.text("kind") + ", which strikes no endpoints");
        }
    }

    private boolean hasGroup(Predicate<Scenario.PartnerGroup> condition) {
        return groups.stream().anyMatch(condition);
    }

    private void checkParameters() {
        if (table.has("factor") && !kind.hasSlowdownFactor()) {
            error("factor", "is for slow and leak alone");
        }
        if (table.has("part") && !kind.hasFraction()) {
            error("part", "is for errors and limits alone");
        }
    }

    private void checkReducedLimit() {
        if (kind != FailureKind.REDUCED_LIMIT) {
            return;
        }
        if (!table.has("part")) {
            error("part", "is missing: limits needs the part that is left of them");
        }
        boolean hasLimit = hasGroup(group -> group.limitPerSecond() > 0
                && (!table.has("group") || group.name().equals(table.text("group"))));
        if (!hasLimit) {
            error(
                    "kind",
                    table.has("group")
                            ? "group " + table.text("group") + " has no limit to lower"
                            : "no group has a limit to lower");
        }
    }

    private void checkTimes() {
        String endOfRun = " (span = " + Units.formatDuration(runDurationMicros) + ")";
        boolean restartsRelays = kind == FailureKind.RELAY_CRASH || kind == FailureKind.ROLLING_RESTART;
        if (restartsRelays && restartMicros >= runDurationMicros) {
            error(
                    "kind",
                    "relays that end are back after " + Units.formatDuration(restartMicros)
                            + " (fleet.restart), when nothing is handed in any more" + endOfRun);
        }
        long endMicros = table.whole("at") + table.whole("lasts");
        if (kind == FailureKind.ROLLING_RESTART && endMicros > runDurationMicros) {
            error(
                    "lasts",
                    "ends at " + Units.formatDuration(endMicros) + ", when nothing is handed in any more" + endOfRun
                            + ": the last tenths would be restarted for nobody");
        }
        if (table.whole("at") >= runDurationMicros) {
            error(
                    "at",
                    "begins at " + Units.formatDuration(table.whole("at")) + ", when nothing is handed in any more"
                            + endOfRun);
        }
    }
}
