package loftflow.server;

import static loftflow.server.RelayProcess.await;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loftflow.fake.FakeClient;
import loftflow.fake.ServedRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Base of tests that start relays from relay files. Ends the relays after each test. */
abstract class RelayFileTestBase {
    @TempDir
    Path folder;

    final List<ServedRelay> relays = new ArrayList<>();

    @AfterEach
    void endRelays() {
        relays.forEach(ServedRelay::close);
    }

    /** Starts a relay and returns without waiting until it serves. */
    final ServedRelay launch(Path file, String... options) throws IOException {
        ServedRelay relay = ServedRelay.start(file, folder.resolve("log" + relays.size()), options);
        relays.add(relay);
        return relay;
    }

    /**
     * Submits a settlement and repeats it while it is rejected: a relay that starts with little CPU rejects messages.
     */
    static int submit(FakeClient client, String id, int destination, long budgetMillis) {
        int[] status = new int[1];
        await(() -> {
            try {
                status[0] = client.handIn(id, "settlement", null, null, destination, budgetMillis, "a");
                return status[0] != 503;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return status[0];
    }
}
