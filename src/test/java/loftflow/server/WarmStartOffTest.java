package loftflow.server;

import static loftflow.fake.ScriptedPeer.status;
import static loftflow.server.RelayProcess.await;
import static loftflow.server.RelayProcess.discoveryWithoutList;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import loftflow.config.Config;
import loftflow.config.PlatformConfigReader;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the start from a platform configuration with a warm-start file that is valid or invalid. */
class WarmStartOffTest extends RelayTestBase {
    private static final Path WARM_START_FILE = Path.of("deploy/memory.json");

    @TempDir
    Path configFolder;

    @Test
    void relayRestoresEndpointsAfterAKillAndProbesBeforeItsFirstMessage() throws IOException {
        prepare(discoveryWithoutList(), ScriptedPeer.always(status(200)));
        assertEquals(202, relay.withWarmStartFile(WARM_START_FILE).start().submit("a", "safe", 7));
        await(() -> host.count("POST ") == 1);
        await(() -> relay.stateDirectory().toFile().list((d, name) -> name.endsWith(".picture")).length > 0);
        relay.kill();
        int requestsBefore = host.requests.size();
        relay.start();
        assertTrue(relay.log().contains("warmstart: restored endpoints=1 revision=1 "), relay.log());
        assertEquals(202, relay.submit("b", "unsafe", 7));
        await(() -> host.count("POST ") == 2);
        assertTrue(
                host.requests.get(requestsBefore).line().startsWith("GET /-/"),
                host.requests.get(requestsBefore).line());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"disk-share\": 0.5, \"write-rate\": 1, \"half-life-s\": 1, \"settle-s\": 0, \"wait-margin-s\": 0} | disk-share: from 0 to 0.08",
                "{\"disk-share\": 0.05, \"write-rate\": 0, \"half-life-s\": 1, \"settle-s\": 0, \"wait-margin-s\": 0} | write-rate: 0 is too small",
                "{\"disk-share\": 0.05, \"write-rate\": 1, \"half-life-s\": 0.5, \"settle-s\": 0, \"wait-margin-s\": 0} | half-life-s: 0.5 is too",
                "{\"disk-share\": 0.05} | write-rate must be",
                "[] | an object is needed",
                "{ | can't be read"
            })
    void invalidWarmStartFileIsRejectedWithTheReason(String text, String reason) throws IOException {
        Path file = Files.writeString(configFolder.resolve("memory.json"), text);
        prepare(discoveryWithoutList(), ScriptedPeer.always(status(200)));
        Config.BadConfigException e = assertThrows(Config.BadConfigException.class, () -> PlatformConfigReader.source(
                        Map.of("EDGE_CONFIG", "deploy/training.json", "EDGE_STATE", configFolder.toString()), file)
                .read());
        assertTrue(e.getMessage().startsWith("--memory: ") && e.getMessage().contains(reason), e.getMessage());
    }
}
