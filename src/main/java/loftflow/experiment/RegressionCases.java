package loftflow.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * A folder of minimized scenarios that have each violated a rule once, and that every later build is run against. The
 * name of a file states the rule and the seed: {@code overrun-7-quiet-day.toml}.
 */
public final class RegressionCases {
    private static final Pattern FILE_NAME = Pattern.compile("([a-z]+)-(\\d{1,18})-.+\\.toml");

    /** One case. */
    public record Case(Path file, Scenario scenario, long seed, RuleChecker.Rule rule) {}

    private RegressionCases() {}

    /** Stores a scenario that violates a rule by a seed, in place of one of the same name. */
    public static Path save(Path folder, Scenario scenario, long seed, RuleChecker.Rule rule) throws IOException {
        String name = rule.code() + "-" + seed + "-" + scenario.name() + ".toml";
        Path file = Files.createDirectories(folder).resolve(name);
        return Files.writeString(file, ScenarioWriter.of(scenario));
    }

    /**
     * All cases of a folder, by name.
     *
     * @throws IOException if a file is no valid case, as a case that is skipped would pass for one without violations
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
            cases.add(read(file));
        }
        return cases;
    }

    private static Case read(Path file) throws IOException, SourceFile.UnreadableException {
        Matcher name = FILE_NAME.matcher(file.getFileName().toString());
        Optional<RuleChecker.Rule> rule = name.matches() ? RuleChecker.Rule.ofCode(name.group(1)) : Optional.empty();
        if (rule.isEmpty()) {
            throw new IOException(file + ": a case's name is RULE-SEED-NAME.toml, such as overrun-7-quiet-day.toml");
        }
        ScenarioReader.ReadResult result = ScenarioFiles.read(file.toString(), SourceFile.readText(file));
        if (result.scenario() == null) {
            throw new IOException(result.findings().stream()
                    .filter(Finding::isError)
                    .findFirst()
                    .orElseThrow()
                    .toString());
        }
        return new Case(file, result.scenario(), Long.parseLong(name.group(2)), rule.get());
    }
}
