package loftflow.server;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loftflow.cli.Main;
import loftflow.config.tool.ConfigTool;
import loftflow.fake.FakeClient;
import loftflow.fake.FakeDiscoveryAgent;
import loftflow.fake.FakePartner;
import loftflow.fake.ServedRelay;
import org.junit.jupiter.api.Test;

/** Tests a relay that is configured by a relay file alone, and which classes it loads. */
class RelayFileTest extends RelayFileTestBase {
    private String log() throws IOException {
        return relays.get(relays.size() - 1).log();
    }

    private FakeClient client() throws Exception {
        return relays.get(relays.size() - 1).awaitServing().client();
    }

    private static int handIn(FakeClient client, String id, int destination) {
        return submit(client, id, destination, 6_000);
    }

    /** Writes a relay file from a discovery section and an endpoint section, each of which may be empty. */
    private Path writeRelayFile(String discovery, String endpoint) throws Exception {
        String text =
                """
                format = 1
                name = "app"
                [machine]
                memory = "128MiB"
                descriptors = 128
                disk = "8MiB"
                folder = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [[front]]
                listen = "127.0.0.1:0"
                %s
                [[class]]
                name = "settlement"
                repeat = "once"
                wanted = "2s"
                deadline = "6s"
                peak-rate = "5/s"
                [[partner]]
                name = "iron-line"
                number = 7
                kind = "railways"
                response = "20ms"
                %s
                """
                        .formatted(folder.resolve("state"), discovery, endpoint);
        Path file = Files.writeString(folder.resolve("app.toml"), text);
        ConfigTool.Outcome outcome = ConfigTool.write(file, folder, false);
        assertEquals(
                ConfigTool.Written.NEW, outcome.written(), outcome.findings().toString());
        return outcome.file();
    }

    private static String endpointSection(FakePartner partner) {
        return "[[partner.endpoint]]\nid = \"iron-1\"\naddress = \"" + partner.address() + "\"";
    }

    @Test
    void relayFileWithEndpointsNeedsNoDiscoveryAndLogsCompletionsToAFile() throws Exception {
        try (FakePartner partner = new FakePartner(5, 0)) {
            launch(writeRelayFile("", endpointSection(partner)));
            try (FakeClient client = client()) {
                assertTrue(client.isReady());
                assertEquals(202, handIn(client, "s1", 7));
                await(() -> partner.effects().containsKey("s1"));
                assertEquals(400, handIn(client, "s2", 8), "no such destination");
                partner.setBehavior(FakePartner.Behavior.RESET);
                assertEquals(202, handIn(client, "s3", 7));
                await(() -> completionLog()
                        .contains("\"ref\":\"s3\",\"class\":\"settlement\",\"dest\":7,\"result\":\"dead\""));
            }
            assertEquals(
                    2, log().lines().filter(l -> l.contains("serving on")).count(), "both listeners serve: " + log());
            assertEquals(1, partner.effects().get("s3"));
        }
    }

    private String completionLog() {
        try {
            return Files.readString(folder.resolve("state/ends.jsonl"));
        } catch (IOException e) {
            return "";
        }
    }

    @Test
    void acceptedMessageIsDeliveredAfterAKill() throws Exception {
        try (FakePartner partner = new FakePartner(5, 0)) {
            Path file = writeRelayFile("", endpointSection(partner));
            partner.setBehavior(FakePartner.Behavior.UNAVAILABLE);
            ServedRelay first = launch(file);
            try (FakeClient client = client()) {
                assertEquals(202, handIn(client, "s1", 7));
            }
            first.close();
            partner.setBehavior(FakePartner.Behavior.NORMAL);
            launch(file);
            await(() -> partner.effects().containsKey("s1") || completionLog().contains("s1"));
            assertTrue(partner.effects().getOrDefault("s1", 0) <= 1);
        }
    }

    @Test
    void endpointsAreReadFromDiscoveryIfTheFileHasNone() throws Exception {
        try (FakePartner partner = new FakePartner(5, 0);
                FakeDiscoveryAgent discovery = new FakeDiscoveryAgent()) {
            discovery.list(List.of(
                    FakeDiscoveryAgent.entry("iron-1", 7, "railways", "main", "in_service", partner.address())));
            launch(writeRelayFile("[discovery]\nagent = \"" + discovery.address() + "\"", ""));
            try (FakeClient client = client()) {
                await(() -> isReady(client));
                assertEquals(202, handIn(client, "s1", 7));
                await(() -> partner.effects().containsKey("s1"));
                partner.setBehavior(FakePartner.Behavior.RESET);
                assertEquals(202, handIn(client, "s2", 7));
                await(() -> discovery.notices().contains(new FakeDiscoveryAgent.Notice("s2", "dead")));
            }
            assertEquals("", completionLog(), "completions are sent to the platform only");
        }
    }

    /** Returns the content of a file; empty if it can't be read. */
    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }

    private static boolean isReady(FakeClient client) {
        try {
            return client.isReady();
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void serveReportsTheSameErrorsAsTheConfigTool() throws Exception {
        try (var files = Files.list(Path.of("src/test/resources/config/broken"))) {
            for (Path file : files.filter(f -> f.toString().matches(".*(idle-beyond|slots-below|span-huge).*toml"))
                    .toList()) {
                Process process = launch(file).process();
                assertTrue(process.waitFor(30, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue());
                assertEquals(
                        "loftflow: " + ConfigTool.check(file).get(0),
                        log().lines().findFirst().orElse(""));
                assertFalse(log().contains("serving"), log());
            }
        }
        Process process = launch(Path.of("src/test/resources/config/base.toml")).process();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertTrue(log().contains("is no relay file; loftflow config write makes one"), log());
    }

    @Test
    void servingLoadsNoCommandLineAndNoTomlParserForThePlatform() throws Exception {
        try (FakePartner partner = new FakePartner(5, 0)) {
            launch(writeRelayFile("", endpointSection(partner)), "-Xlog:class+load");
            client().close();
            assertTrue(log().contains("org.tomlj"), "loaded classes are logged");
            assertFalse(
                    log().contains("picocli")
                            || log().contains("com.github.difflib")
                            || log().contains("loftflow.fake"),
                    "classes of the command line are loaded");
        }
        Path classLog = folder.resolve("classes");
        Path log = folder.resolve("platform");
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-Xlog:class+load:file=" + classLog,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve")
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("EDGE_CONFIG", "deploy/training.json");
        builder.environment().put("EDGE_STATE", folder.resolve("training").toString());
        Process relay = builder.start();
        try {
            await(() -> read(log).contains("serving on"));
        } finally {
            relay.destroyForcibly().waitFor();
        }
        String loadedClasses = Files.readString(classLog);
        assertTrue(loadedClasses.contains("loftflow.config.Config "), "loaded classes are logged");
        for (String unused : List.of(
                "org.tomlj",
                "org.antlr",
                "picocli",
                "loftflow.config.plan",
                "loftflow.config.schema",
                "loftflow.config.file",
                "loftflow.cli.Commands",
                "CompletionLog",
                "org.sqlite",
                "java.sql.",
                "loftflow.deadletter",
                "loftflow.admin",
                "loftflow.amqp",
                "loftflow.listener.amqp",
                "loftflow.upstream.amqp",
                "loftflow.deduplication",
                "loftflow.warmstart",
                "WarmStartModule",
                "loftflow.trace",
                "de.siegmar",
                "javax.net.ssl")) {
            assertFalse(loadedClasses.contains(unused), unused + " is loaded");
        }
    }
}
