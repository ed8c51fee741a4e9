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

/** Starts relays by relay files, and ends them with the test. */
abstract class RelayFileTestBase {
    @TempDir
    Path folder;

    final List<ServedRelay> relays = new ArrayList<>();

    @AfterEach
    void endRelays() {
        relays.forEach(ServedRelay::close);
    }

    /** Starts one; it may not serve yet. */
    final ServedRelay launch(Path file, String... options) throws IOException {
        ServedRelay relay = ServedRelay.start(file, folder.resolve("log" + relays.size()), options);
        relays.add(relay);
        return relay;
    }

    /**
     * Hands a settlement in as a client does, again while the relay refuses: one that is short of CPU at its start
     * does.
     */
    static int handIn(FakeClient client, String id, int destination, long budgetMillis) {
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
