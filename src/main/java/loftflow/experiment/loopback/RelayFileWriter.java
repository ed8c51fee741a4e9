package loftflow.experiment.loopback;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import loftflow.config.file.SourceFile;
import loftflow.config.file.Units;
import loftflow.config.tool.ConfigTool;
import loftflow.experiment.scenario.Scenario;

/** Writes the relay files of a scenario's fleet with the configuration tool that operators use. */
final class RelayFileWriter {
    private RelayFileWriter() {}

    /**
     * Writes the file of one relay.
     *
     * @param agent address of the discovery agent
     * @param completionAddress address for completion notices
     * @throws IOException with the findings, if no relay could run with the scenario
     */
    static Path write(
            Scenario scenario, Scenario.Layout layout, int relay, String agent, String completionAddress, Path folder)
            throws IOException {
        Path stateFolder = folder.resolve("state" + relay);
        String text = ApplicationFile.of(scenario, layout, relay, agent, completionAddress, stateFolder);
        Path application = Files.writeString(folder.resolve("app" + relay + ".toml"), text);
        Path relayFolder = Files.createDirectories(folder.resolve("relay" + relay));
        try {
            ConfigTool.Outcome outcome = ConfigTool.write(application, relayFolder, true);
            if (outcome.file() == null) {
                throw new IOException("no relay runs by this scenario: " + outcome.findings());
            }
            String derived = Files.readString(outcome.file());
            return Files.writeString(outcome.file(), withFleetSettings(derived, scenario.fleet()));
        } catch (SourceFile.UnreadableException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Replaces settings that the tool has derived by those that the scenario states. */
    private static String withFleetSettings(String relayFile, Scenario.Fleet fleet) {
        String text = withSetting(relayFile, "slots", fleet.concurrentCalls());
        text = withSetting(text, "messages", fleet.bufferedMessages());
        text = withSetting(text, "connections", fleet.concurrentCalls());
        text = withSetting(text, "descriptors", ApplicationFile.BASE_DESCRIPTORS + fleet.concurrentCalls());
        return withSetting(text, "round", "\"" + Units.formatDuration(fleet.roundMicros()) + "\"");
    }

    private static String withSetting(String text, String name, Object value) {
        return text.replaceFirst("(?m)^" + name + " = .*$", name + " = " + value);
    }
}
