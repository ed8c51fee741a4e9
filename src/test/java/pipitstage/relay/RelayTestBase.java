package pipitstage.relay;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import pipitstage.standin.StubPeer;

/** A relay with one host and discovery round it, ended after each test. */
abstract class RelayTestBase {
    @TempDir
    Path folder;

    StubPeer discovery;
    StubPeer host;
    RelayProcess relay;

    /** Prepares a relay, not started yet, that knows the host at destination 7. */
    void prepare(StubPeer discovery, StubPeer host) {
        this.discovery = discovery;
        this.host = host;
        relay = new RelayProcess(folder, discovery).knows("h1", 7, "one", host);
    }

    @AfterEach
    void end() throws IOException {
        relay.close();
        host.close();
        discovery.close();
    }
}
