package loftflow.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loftflow.fake.ScriptedPeer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a process with the deployed flags stays within its memory whatever lists its agent sends. */
@Timeout(120)
class AgentMemoryTest extends RelayTestBase {
    private static final int MEMORY_MIB = 128;
    private static final int DESCRIPTORS = 1024;
    private static final long PLAY_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int LIST_BYTES = 2_000_000;

    /** The entries of the lists that the agent sends without a pause. */
    enum Entries {
        EMPTY,
        NESTED,
        NUMBERS,
        MANY_MEMBERS,
        NEW_ENDPOINTS;

        private String list(int revision) {
            return RelayProcess.list(revision, false, entries(revision));
        }

        private String entries(int revision) {
            return switch (this) {
                case EMPTY -> "{}" + ",{}".repeat(LIST_BYTES / 3);
                case NESTED -> "{\"uid\":[[]" + ",[]".repeat(LIST_BYTES / 3) + "]}";
                case NUMBERS -> "1" + ",1".repeat(LIST_BYTES / 2);
                case MANY_MEMBERS -> manyMembers();
                case NEW_ENDPOINTS -> newEndpoints(revision);
            };
        }

        private static String manyMembers() {
            StringBuilder entry = new StringBuilder("{\"uid\":\"x\"");
            for (int i = 0; entry.length() < LIST_BYTES - 1000; i++) {
                entry.append(",\"")
                        .append(Integer.toString(i, Character.MAX_RADIX))
                        .append("\":0");
            }
            return entry.append('}').toString();
        }

        private static String newEndpoints(int revision) {
            StringBuilder entries = new StringBuilder(endpoint(revision, 0));
            for (int i = 1; entries.length() < LIST_BYTES - 1000; i++) {
                entries.append(',').append(endpoint(revision, i));
            }
            return entries.toString();
        }

        private static String endpoint(int revision, int number) {
            return RelayProcess.target("new-" + revision + "-" + number, number, "one", "in_service", "127.0.0.9:9");
        }
    }

    private final AtomicInteger revision = new AtomicInteger(1);

    @BeforeEach
    void prepareRelay() throws IOException {
        prepare(RelayProcess.discoveryWithoutList(), ScriptedPeer.always(ScriptedPeer.status(200)));
    }

    /** Guards against a process that ends because of the lists of its agent. */
    @ParameterizedTest
    @EnumSource(Entries.class)
    void listsAreHeldInTheMemoryOfTheProcess(Entries entries) throws Exception {
        discovery.answer(request -> request.line().startsWith("POST")
                ? ScriptedPeer.status(204)
                : ScriptedPeer.answer(200, entries.list(revision.incrementAndGet())));
        relay.withDeployedCommand(MEMORY_MIB, DESCRIPTORS).start();
        try (SteadyClient client = new SteadyClient(relay)) {
            client.submitFor(PLAY_NANOS);
            int peakMib = relay.peakResidentMib();
            System.out.println(entries + ": peak MiB " + peakMib + ", lists " + revision.get() + ", " + client);
            assertTrue(relay.isAlive(), relay::log);
            assertTrue(peakMib <= MEMORY_MIB, "resident MiB: " + peakMib);
            assertTrue(client.wasAnswered(), client::toString);
        }
    }
}
