package loftflow.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import loftflow.config.file.Finding;
import loftflow.config.file.SourceFile;
import loftflow.experiment.evaluation.RuleChecker;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.ScenarioReader;
import loftflow.experiment.scenario.ScenarioWriter;

/**
 * A folder of small scenarios that have each broken a rule once, and are played again by every later build. A file's
 * name says
 * which rule and by which seed: {@code overrun-7-quiet-day.toml}.
 */
public final class RegressionCases {
    private static final Pattern NAME = Pattern.compile("([a-z]+)-(\\d{1,18})-.+\\.toml");

    /** One of them. */
    public record Case(Path file, Scenario scenario, long seed, RuleChecker.Rule rule) {}

    private RegressionCases() {}

    /** Keeps a scenario that breaks a rule by a seed; one of the same name is replaced. */
    public static Path save(Path folder, Scenario scenario, long seed, RuleChecker.Rule rule) throws IOException {
        Path file = Files.createDirectories(folder)
                .resolve(rule.name().toLowerCase(Locale.ROOT) + "-" + seed + "-" + scenario.name() + ".toml");
        return Files.writeString(file, ScenarioWriter.of(scenario));
    }

    /**
     * All cases of a folder, by name.
     *
     * @throws IOException where a file is no case, with what is wrong: a case that is passed over would be taken for
     * one that holds
     */
    public static List<Case> in(Path folder) throws IOException, SourceFile.UnreadableException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": is no folder");
        }
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.sorted().toList();
        }
        List<Case> cases = new ArrayList<>();
        for (Path file : files) {
            Matcher name = NAME.matcher(file.getFileName().toString());
            if (!name.matches()
                    || Stream.of(RuleChecker.Rule.values())
                            .noneMatch(r -> r.name().toLowerCase(Locale.ROOT).equals(name.group(1)))) {
                throw new IOException(
                        file + ": a case's name is RULE-SEED-NAME.toml, such as overrun-7-quiet-day.toml");
            }
            ScenarioReader.Read read = ExperimentRunner.read(file.toString(), SourceFile.text(file));
            if (read.scenario() == null) {
                throw new IOException(read.findings().stream()
                        .filter(Finding::isError)
                        .findFirst()
                        .orElseThrow()
                        .toString());
            }
            cases.add(new Case(
                    file,
                    read.scenario(),
                    Long.parseLong(name.group(2)),
                    RuleChecker.Rule.valueOf(name.group(1).toUpperCase(Locale.ROOT))));
        }
        return cases;
    }
}
