package loftflow.server;

import java.io.IOException;
import java.nio.file.Path;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Base of tests of a relay with one upstream and a discovery agent, all of which are closed after each test. */
abstract class RelayTestBase {
    @TempDir
    Path folder;

    ScriptedPeer discovery;
    ScriptedPeer host;
    RelayProcess relay;

    /** Creates a relay that knows the upstream as destination 7, without starting it. */
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
