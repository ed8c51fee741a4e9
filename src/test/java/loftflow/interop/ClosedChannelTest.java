package loftflow.interop;

import static loftflow.server.RelayProcess.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loftflow.config.tool.ConfigTool;
import loftflow.deadletter.DeadLetter;
import loftflow.deadletter.DeadLetterStore;
import loftflow.deadletter.ExecutionCertainty;
import loftflow.deadletter.store.SqliteDeadLetterStore;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakeBroker.PublishOutcome;
import loftflow.fake.FakeClient;
import loftflow.fake.ServedRelay;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A channel that closes after a publish and ahead of its confirm, for each class, with undeliverable messages kept. */
class ClosedChannelTest {
    @TempDir
    Path folder;

    @Test
    void eachClassGoesByItsOwnRule() throws Exception {
        try (FakeBroker broker = new FakeBroker()) {
            broker.declare("out");
            Path application = Files.writeString(
                    folder.resolve("app.toml"),
                    """
                    format = 1
                    name = "app"
                    [machine]
                    memory = "160MiB"
                    descriptors = 128
                    disk = "24MiB"
                    folder = "%s"
                    [[front]]
                    listen = "127.0.0.1:0"
                    [undeliverable]
                    keep = true
                    limit = "4MiB"
                    [[broker]]
                    name = "grain"
                    heartbeat = "1s"
                    [[class]]
                    name = "settlement"
                    repeat = "once"
                    wanted = "500ms"
                    deadline = "4s"
                    peak-rate = "5/s"
                    [[class]]
                    name = "car-order"
                    repeat = "by-key"
                    key-window = "30s"
                    wanted = "500ms"
                    deadline = "4s"
                    peak-rate = "5/s"
                    [[class]]
                    name = "status-update"
                    repeat = "repeatable"
                    wanted = "500ms"
                    deadline = "4s"
                    peak-rate = "5/s"
                    [[partner]]
                    name = "elevator"
                    number = 7
                    kind = "elevators"
                    response = "20ms"
                    [[partner.endpoint]]
                    id = "e1"
                    address = "%s"
                    broker = "grain"
                    routing-key = "out"
                    """
                            .formatted(folder.resolve("state"), broker.address()));
            ConfigTool.Outcome outcome = ConfigTool.write(application, folder, false);
            assertEquals(
                    ConfigTool.Written.NEW,
                    outcome.written(),
                    outcome.findings().toString());
            try (ServedRelay relay = ServedRelay.start(outcome.file(), folder.resolve("log"), "-Xmx64m")
                            .awaitServing();
                    FakeClient client = relay.client()) {
                // The first publish of each takes effect and closes its channel; later ones are confirmed.
                java.util.Set<String> seen = java.util.concurrent.ConcurrentHashMap.newKeySet();
                broker.setOutcomes(id -> seen.add(id) ? PublishOutcome.CLOSE_CHANNEL : PublishOutcome.CONFIRM);
                for (String type : List.of("settlement", "car-order", "status-update")) {
                    await(() -> {
                        try {
                            return client.handIn("m-" + type, type, null, "key-" + type, 7, 4_000, "x") == 202;
                        } catch (java.io.IOException e) {
                            throw new AssertionError(e);
                        }
                    });
                    await(() -> broker.effects().containsKey("m-" + type));
                }
                await(() -> broker.effects().get("m-car-order") == 2
                        && broker.effects().get("m-status-update") == 2);
                assertTrue(broker.postings().stream()
                        .filter(p -> p.id().equals("m-car-order"))
                        .allMatch(p -> p.key().equals("key-car-order")));
                // Others may have been kept for a while, and gone out from there within their windows.
                await(() -> entries().size() == 1);
                DeadLetter kept = entries().get(0);
                assertEquals("m-settlement", kept.content().messageId());
                assertEquals(ExecutionCertainty.UNKNOWN, kept.certainty());
                assertEquals(1, broker.effects().get("m-settlement"));
                assertTrue(kept.attempts().size() == 1, "it was tried once: " + kept.attempts());
            }
        }
    }

    private List<DeadLetter> entries() {
        if (!Files.exists(folder.resolve("state").resolve(SqliteDeadLetterStore.FILE_NAME))) {
            return List.of();
        }
        try (DeadLetterStore shelf = SqliteDeadLetterStore.openReadOnly(folder.resolve("state"))) {
            return shelf.list(
                    new DeadLetterStore.Filter(DeadLetter.State.STORED, null, null, null, null, 0, 0), 0, 9, false);
        }
    }
}
