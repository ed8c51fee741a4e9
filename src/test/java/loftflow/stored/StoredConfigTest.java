package loftflow.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loftflow.config.Config;
import loftflow.config.file.Finding;
import loftflow.config.tool.ConfigTool;
import loftflow.config.tool.RelayFile;
import loftflow.engine.Endpoint;
import loftflow.experiment.ScenarioFiles;
import loftflow.experiment.scenario.FailureKind;
import loftflow.experiment.scenario.ScenarioReader;
import loftflow.experiment.scenario.ScenarioWriter;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An application file with the relay file that an earlier build derived from it, and scenarios that one wrote. */
class StoredConfigTest {
    private static final Path APPLICATION = StoredData.original("config/application.toml");
    private static final Path RELAY = StoredData.original("config/amqp-desk.relay.toml");

    @TempDir
    Path folder;

    @Test
    void applicationFileDerivesTheRelayFileOfTheEarlierBuild() throws Exception {
        ConfigTool.Outcome outcome = ConfigTool.write(APPLICATION, folder, false);
        assertEquals(
                ConfigTool.Written.NEW, outcome.written(), outcome.findings().toString());
        assertEquals("amqp-desk.relay.toml", outcome.file().getFileName().toString());
        assertEquals(Files.readString(RELAY), Files.readString(outcome.file()));
    }

    @Test
    void relayFileOfTheEarlierBuildCountsAsUntouched() throws Exception {
        Path copy = Files.copy(RELAY, folder.resolve(RELAY.getFileName()));
        assertEquals(
                ConfigTool.Written.UNCHANGED,
                ConfigTool.write(APPLICATION, folder, false).written());
        assertEquals(Files.readString(RELAY), Files.readString(copy));
    }

    @Test
    void checkFindsWhatTheEarlierBuildFound() throws Exception {
        String reason =
                "warning: 20000 ids are fewer than the 27000 messages of 30m at the classes' rates: when they are"
                        + " full, nothing more is taken on over AMQP; raise it or shorten the span";
        assertEquals(List.of(RELAY + ":45:1: duplicates.entries: " + reason), findings(RELAY));
        assertEquals(List.of(APPLICATION + ":39:1: duplicates.entries: " + reason), findings(APPLICATION));
    }

    private static List<String> findings(Path file) throws Exception {
        return ConfigTool.check(file).stream().map(Finding::toString).toList();
    }

    /** Class of each idempotency, endpoint of each protocol, and derived settings. */
    @Test
    void relayFileOfTheEarlierBuildIsReadWhole() throws Exception {
        Config config = RelayFile.source(RELAY).read();
        assertEquals(
                List.of(
                        requestClass("status-update", Idempotency.IDEMPOTENT, 0, 1_500_000, 5_000_000),
                        requestClass("settlement", Idempotency.NON_IDEMPOTENT, 0, 3_000_000, 20_000_000),
                        requestClass("car-order", Idempotency.IDEMPOTENT_BY_KEY, 7_500_000, 2_000_000, 28_000_000)),
                config.settings().classes());
        assertEquals(
                List.of(endpoint("plains-1", "127.0.0.1:9004"), endpoint("plains-broker", "127.0.0.1:5671")),
                config.knownEndpoints());
        assertEquals(197_607_424, config.diskBytes());
        assertEquals(Path.of("/var/lib/loftflow/amqp-desk"), config.stateDirectory());
        assertEquals(
                new Config.WarmStartConfig("amqp-desk#0", 1 << 20, 8_192, 600_000_000, 120_000_000, 50_000, false),
                config.warmStart());
        Config.Login login = new Config.Login("relay", "guest", "/orders", 2, true, null, "broker.grain.example");
        assertEquals(
                new Config.BrokerRoute(login, "car-orders", "elevator.plains"),
                config.amqp().brokerRoutes().get("plains-broker"));
        assertEquals(
                List.of(new Config.AmqpConsumerOptions(
                        "orders-in",
                        Endpoint.address("127.0.0.1:5671"),
                        login,
                        "planning.orders",
                        32,
                        false,
                        "asked",
                        null)),
                config.amqp().queues());
    }

    private static RequestClass requestClass(
            String name, Idempotency idempotency, long keyWindow, long objective, long deadline) {
        return new RequestClass(name, idempotency, KeyScope.ALL, keyWindow, objective, deadline, 1, 0, false, false);
    }

    private static Endpoint endpoint(String route, String address) {
        EndpointEntry entry = new EndpointEntry(route, 3, "elevators", "main", Availability.LISTED, 0);
        return new Endpoint(entry, Endpoint.address(address));
    }

    /** Every kind of failure and a class of each idempotency; a fleet of a hundred. */
    @ParameterizedTest
    @ValueSource(strings = {"all-failures", "hundred-herd"})
    void scenarioOfTheEarlierBuildIsReadAndWrittenAsItWas(String name) throws Exception {
        String text = Files.readString(StoredData.original("scenarios/" + name + ".toml"));
        ScenarioReader.ReadResult read = ScenarioFiles.read(name, text);
        assertEquals(List.of(), read.findings());
        assertEquals(name, read.scenario().name());
        assertEquals(text, ScenarioWriter.of(read.scenario()));
    }

    @Test
    void scenarioOfTheEarlierBuildHoldsEveryKindOfFailureAndOfClass() throws Exception {
        String text = Files.readString(StoredData.original("scenarios/all-failures.toml"));
        String read = ScenarioWriter.of(ScenarioFiles.read("all-failures", text).scenario());
        assertEquals(
                List.of("repeat = \"repeatable\"", "repeat = \"by-key\"", "repeat = \"once\""),
                read.lines().filter(line -> line.startsWith("repeat = ")).toList());
        List<String> failures = read.substring(read.indexOf("[[failure]]"))
                .lines()
                .filter(line -> line.startsWith("kind = "))
                .toList();
        assertEquals(FailureKind.values().length, failures.size());
        assertEquals(failures.size(), failures.stream().distinct().count());
    }
}
