package loftflow.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.TomlFile;
import loftflow.experiment.scenario.ScenarioReader;

/** Scenario files: those that come with the program, and reading them. */
public final class ScenarioFiles {
    /** The names of the scenarios that come with the program. */
    public static final List<String> BUILT_IN = List.of(
            "quiet-day",
            "harvest-peak",
            "afternoon-outage",
            "half-the-fleet-dies",
            "one-slow-building",
            "brown-out",
            "young-outage",
            "young-burst",
            "full-core",
            "hundred-herd",
            "hundred-roll",
            "hundred-outage");

    private ScenarioFiles() {}

    /**
     * The text of a scenario that comes with the program.
     *
     * @throws IOException if there is none of that name
     */
    public static String builtInText(String name) throws IOException {
        try (InputStream in = ScenarioFiles.class.getResourceAsStream("/scenarios/" + name + ".toml")) {
            if (in == null) {
                throw new IOException("there is no scenario " + name + ": " + String.join(", ", BUILT_IN));
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /**
     * Reads the text of a scenario file.
     *
     * @param file its name, for findings
     */
    public static ScenarioReader.ReadResult read(String file, String text) {
        List<Finding> findings = new ArrayList<>();
        return ScenarioReader.read(file, TomlFile.read(file, text, findings), findings);
    }
}
