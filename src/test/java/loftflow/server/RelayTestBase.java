package loftflow.server;

import java.io.IOException;
import java.nio.file.Path;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** A relay with one upstream and discovery, all of them closed after each test. */
abstract class RelayTestBase {
    @TempDir
    Path folder;

    ScriptedPeer discovery;
    ScriptedPeer host;
    RelayProcess relay;

    /** Creates a relay, not started yet, that knows the upstream as destination 7. */
    void prepare(ScriptedPeer discovery, ScriptedPeer host) {
        this.discovery = discovery;
        this.host = host;
        relay = new RelayProcess(folder, discovery).withKnownEndpoint("h1", 7, "one", host);
    }

    @AfterEach
    void end() throws IOException {
        relay.close();
        host.close();
        discovery.close();
    }
}
