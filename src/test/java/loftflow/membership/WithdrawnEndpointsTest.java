package loftflow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loftflow.engine.Endpoint;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a drain outlives the process that was told of it: calls went to the draining host after a restart. */
class WithdrawnEndpointsTest {
    private static final List<Endpoint> CONFIGURED =
            Stream.of("a", "b").map(name -> endpoint(name, Availability.LISTED)).toList();

    @TempDir
    Path folder;

    private final Queue<Runnable> retries = new ArrayDeque<>();
    private final List<EndpointListKind> passedOn = new ArrayList<>();

    private WithdrawnEndpoints open() {
        return new WithdrawnEndpoints(folder, (kind, version, endpoints) -> passedOn.add(kind), retries::add);
    }

    /** Returns an endpoint list owner of a relay that has started with the configured endpoints. */
    private WithdrawnEndpoints start() {
        WithdrawnEndpoints endpoints = open();
        endpoints.startWith(CONFIGURED);
        return endpoints;
    }

    private static Endpoint endpoint(String name, Availability availability) {
        return new Endpoint(new EndpointEntry(name, 1, "k", "z", availability, 0), Endpoint.address("127.0.0.1:8081"));
    }

    private static void change(WithdrawnEndpoints endpoints, String name, Availability availability) {
        endpoints.onEndpointList(EndpointListKind.DELTA, 2, List.of(endpoint(name, availability)));
    }

    private List<Availability> afterRestart() {
        return open().startWith(CONFIGURED).stream()
                .map(known -> known.entry().availability())
                .toList();
    }

    @ParameterizedTest
    @EnumSource(value = Availability.class, names = "LISTED", mode = EnumSource.Mode.EXCLUDE)
    void withdrawnEndpointIsDrainingAfterARestart(Availability availability) {
        change(start(), "a", availability);
        assertEquals(List.of(Availability.DRAINING, Availability.LISTED), afterRestart());
        assertEquals(List.of(EndpointListKind.DELTA), passedOn);
    }

    @Test
    void endpointThatAFullListLacksIsDrainingAfterARestart() {
        start().onEndpointList(EndpointListKind.FULL, 2, List.of(endpoint("a", Availability.LISTED)));
        assertEquals(List.of(Availability.LISTED, Availability.DRAINING), afterRestart());
    }

    @Test
    void drainOutlivesSeveralRestarts() {
        change(start(), "a", Availability.DRAINING);
        change(start(), "c", Availability.DRAINING);
        assertEquals(List.of(Availability.DRAINING, Availability.LISTED), afterRestart());
    }

    @Test
    void endpointThatIsListedAgainIsUsedAfterARestart() {
        WithdrawnEndpoints endpoints = start();
        change(endpoints, "a", Availability.DRAINING);
        change(endpoints, "a", Availability.LISTED);
        assertEquals(List.of(Availability.LISTED, Availability.LISTED), afterRestart());
    }

    @Test
    void drainIsStoredOnceTheFolderCanBeWritten() throws IOException {
        WithdrawnEndpoints endpoints = start();
        Path obstacle = Files.createDirectories(folder.resolve("withdrawn-endpoints.new"));
        change(endpoints, "a", Availability.DRAINING);
        change(endpoints, "b", Availability.DRAINING);
        assertEquals(1, retries.size());
        retries.remove().run();
        Files.delete(obstacle);
        retries.remove().run();
        assertEquals(List.of(Availability.DRAINING, Availability.DRAINING), afterRestart());
    }

    @Test
    void tornFileIsIgnored() throws IOException {
        change(start(), "a", Availability.DRAINING);
        Path file = folder.resolve("withdrawn-endpoints");
        byte[] content = Files.readAllBytes(file);
        content[content.length - 1]++;
        Files.write(file, content);
        assertEquals(List.of(Availability.LISTED, Availability.LISTED), afterRestart());
    }

    @Test
    void longestWithdrawnEndpointsAreForgotten() throws IOException {
        WithdrawnEndpoints endpoints = start();
        change(endpoints, "a", Availability.REMOVED);
        IntStream.range(0, 5_000).forEach(i -> change(endpoints, "other" + i, Availability.REMOVED));
        change(endpoints, "b", Availability.REMOVED);
        assertEquals(List.of(Availability.LISTED, Availability.DRAINING), afterRestart());
    }
}
