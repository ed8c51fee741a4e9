package loftflow.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import loftflow.engine.Endpoint;
import loftflow.json.MalformedInputException;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.protocol.DiscoveryProtocol;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the request paths and the parsing of endpoint lists (PROTOCOL, Discovery). */
class EndpointListCodecTest {
    private static final String ENTRY = "{\"uid\":\"s-5be2a07c\",\"endpoint\":\"10.1.0.18:8081\",\"az\":\"a\","
            + "\"model\":\"m2\",\"pod_group\":3,\"state\":\"in_service\",\"capacity_hint\":1.5,\"boot_ms\":0}";

    private static Endpoint endpoint(Availability availability) {
        return new Endpoint(
                new EndpointEntry("s-5be2a07c", 3, "m2", "a", availability, 1.5), Endpoint.address("10.1.0.18:8081"));
    }

    private static EndpointList parse(boolean isFull, String entries, Map<String, Endpoint> known) throws IOException {
        return EndpointListCodec.parse(
                "{\"rev\":41,\"all\":" + isFull + ",\"targets\":[" + entries + "]}", "test", known);
    }

    @Test
    void pathsRequestTheFullListOrItsChanges() {
        assertEquals("/api/targets", DiscoveryProtocol.LIST_PATH);
        assertEquals("/api/targets?after=41&wait_ms=1000", EndpointListCodec.watchPath(41, 1_000));
    }

    @ParameterizedTest
    @CsvSource({"in_service, LISTED", "terminating, DRAINING", "terminated, REMOVED"})
    void allFieldsOfAnEntryAreParsed(String state, Availability availability) throws IOException {
        assertEquals(
                new EndpointList(41, false, List.of(endpoint(availability)), true),
                parse(false, ENTRY.replace("in_service", state), Map.of()));
    }

    @Test
    void knownEndpointReplacesItsMalformedEntry() throws IOException {
        Map<String, Endpoint> known = Map.of("s-5be2a07c", endpoint(Availability.LISTED));
        String malformed = ENTRY.replace("10.1.0.18:8081", "nowhere");
        assertEquals(
                new EndpointList(41, true, List.of(endpoint(Availability.LISTED)), false),
                parse(true, malformed, known));
        assertEquals(
                new EndpointList(41, true, List.of(endpoint(Availability.DRAINING)), false),
                parse(true, malformed.replace("in_service", "terminating"), known));
        assertEquals(new EndpointList(41, true, List.of(), false), parse(true, malformed, Map.of()));
    }

    @Test
    void fullListWithAnUnattributableEntryRemovesNothing() throws IOException {
        Map<String, Endpoint> known = Map.of("s-5be2a07c", endpoint(Availability.LISTED));
        assertEquals(
                new EndpointList(41, true, List.of(endpoint(Availability.LISTED)), false), parse(true, "17", known));
        assertEquals(new EndpointList(41, false, List.of(), false), parse(false, "17", known));
        assertEquals(new EndpointList(41, true, List.of(), true), parse(true, "", known));
    }

    @Test
    void textThatIsNotExactlyOneListIsRejected() {
        assertThrows(IOException.class, () -> EndpointListCodec.parse("{\"rev\":[", "test", Map.of()));
        for (String text : List.of("[]", "{\"rev\":1,\"all\":true}", "{\"rev\":1,\"all\":true,\"targets\":[]} {}")) {
            assertThrows(MalformedInputException.class, () -> EndpointListCodec.parse(text, "test", Map.of()), text);
        }
    }
}
