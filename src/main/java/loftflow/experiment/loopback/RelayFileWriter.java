package loftflow.experiment.loopback;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import loftflow.config.file.SourceFile;
import loftflow.config.file.Units;
import loftflow.config.tool.ConfigTool;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;

/** Writes the relay files of a scenario's fleet, by the tool that operators use. */
final class RelayFileWriter {
    private static final double MICROS = 1e6;
    private static final int DESCRIPTORS = 4_096;
    private static final double ROOM = 0.95;

    private RelayFileWriter() {}

    /**
     * Writes one.
     *
     * @param agent the address of discovery's agent, and {@code notices} where ends are told
     * @throws IOException with what is wrong, where no relay could run by it
     */
    static Path write(Scenario scenario, Scenario.Layout layout, int relay, String agent, String notices, Path folder)
            throws IOException {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                """
                format = 1
                name = "relay%d"
                [machine]
                memory = "256MiB"
                descriptors = %d
                disk = "64MiB"
                folder = "%s"
                building = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [discovery]
                agent = "%s"
                notices = "%s"
                [fleet]
                relays = %d
                number = %d
                """,
                relay,
                DESCRIPTORS,
                folder.resolve("state" + relay).toAbsolutePath(),
                scenario.building(relay, layout),
                agent,
                notices,
                scenario.fleet().relays(),
                relay));
        double part =
                Scenario.weights(scenario.fleet().relays(), scenario.fleet().skew())[relay] * scenario.load();
        // The tool takes no buffer that can't hold every message until its deadline. A scenario may state a smaller
        // one, so the
        // file declares no more than that buffer is enough for; a relay itself knows of no rate.
        double held = scenario.classes().stream()
                        .mapToDouble(c -> c.rate() * c.deadline() / MICROS)
                        .sum()
                * part;
        double declared = part * Math.min(1, scenario.fleet().messages() * ROOM / held);
        for (Scenario.MessageClass c : scenario.classes()) {
            text.append(String.format(
                    Locale.ROOT,
                    "[[class]]\nname = \"%s\"\nrepeat = \"%s\"\nkey-scope = \"%s\"\nwanted = \"%s\"\n"
                            + "deadline = \"%s\"\nworth = %s\nlate-worth = %s\npeak-rate = \"%s\"\nbody = \"64B\"\n",
                    c.name(),
                    c.repeat().settingName(),
                    c.keysByBuilding() ? "building" : "all",
                    Units.ofSpan(c.wanted()),
                    Units.ofSpan(c.deadline()),
                    c.worth(),
                    c.lateWorth(),
                    Units.ofRate(Math.max(1e-3, c.rate() * declared))));
            if (c.repeat() == Idempotency.IDEMPOTENT_BY_KEY) {
                text.append("key-window = \"")
                        .append(Units.ofSpan(c.keyWindow()))
                        .append("\"\n");
            }
            if (c.to() != null) {
                text.append("to = [\"").append(String.join("\", \"", c.to())).append("\"]\n");
            }
        }
        for (Scenario.Tenant t : scenario.tenants()) {
            text.append("[[tenant]]\nname = \"")
                    .append(t.name())
                    .append("\"\nrate = \"")
                    .append(Units.ofRate(t.rate()))
                    .append("\"\n");
        }
        scenario.groups().stream()
                .map(g -> "[[kind]]\nname = \"" + g.kind() + "\"\nbatch = " + g.batch() + "\nroutes-apart = "
                        + g.routesApart() + "\nidle = \"60s\"\n")
                .distinct()
                .forEach(text::append);
        for (Scenario.Partner p : layout.partners()) {
            Scenario.Group g = p.group();
            text.append("[[partner]]\nname = \"p")
                    .append(p.number())
                    .append("\"\nnumber = ")
                    .append(p.number())
                    .append("\nkind = \"")
                    .append(g.kind())
                    .append("\"\nresponse = \"")
                    .append(Units.ofSpan(g.response()))
                    .append("\"\n");
        }
        Path application = Files.writeString(folder.resolve("app" + relay + ".toml"), text);
        try {
            ConfigTool.Outcome outcome =
                    ConfigTool.write(application, Files.createDirectories(folder.resolve("relay" + relay)), true);
            if (outcome.file() == null) {
                throw new IOException("no relay runs by this scenario: " + outcome.findings());
            }
            // What the scenario states of the fleet goes before what the tool would derive.
            String written = Files.readString(outcome.file())
                    .replaceFirst(
                            "(?m)^slots = .*$", "slots = " + scenario.fleet().slots())
                    .replaceFirst(
                            "(?m)^messages = .*$",
                            "messages = " + scenario.fleet().messages())
                    .replaceFirst(
                            "(?m)^connections = .*$",
                            "connections = " + scenario.fleet().slots())
                    .replaceFirst(
                            "(?m)^descriptors = .*$",
                            "descriptors = " + (DESCRIPTORS + scenario.fleet().slots()))
                    .replaceFirst(
                            "(?m)^round = .*$",
                            "round = \"" + Units.ofSpan(scenario.fleet().round()) + "\"");
            return Files.writeString(outcome.file(), written);
        } catch (SourceFile.UnreadableException e) {
            throw new IOException(e.getMessage(), e);
        }
    }
}
