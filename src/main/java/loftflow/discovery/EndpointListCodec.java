package loftflow.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.engine.Endpoint;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.log.Log;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.protocol.DiscoveryProtocol;

/**
 * Creates the paths that request endpoint lists from discovery, and parses the lists from JSON (PROTOCOL, Discovery).
 *
 * <p>A malformed entry is logged and skipped, so that the other entries still apply. If its endpoint is known, the
 * known entry is used instead, with the new state if that is valid. A full list with an entry that cannot be attributed
 * to a known endpoint removes no endpoints.
 */
public final class EndpointListCodec {
    private static final JsonFactory JSON = new JsonFactory();

    private EndpointListCodec() {}

    /**
     * Returns the path of a watch request, to which discovery responds with the changes after a revision as soon as
     * there are any, or without changes after the given time.
     */
    static String watchPath(long revision, long waitMillis) {
        return DiscoveryProtocol.LIST_PATH + "?" + DiscoveryProtocol.AFTER_REVISION + "=" + revision + "&"
                + DiscoveryProtocol.WAIT_MILLIS + "=" + waitMillis;
    }

    /**
     * Returns the revision of a list.
     *
     * @throws MalformedInputException if the list has no valid revision
     */
    public static long revision(JsonFields list) {
        return list.wholeNumber(DiscoveryProtocol.REVISION);
    }

    /**
     * Parses the entries of a list and skips the malformed ones.
     *
     * @throws MalformedInputException if the list has no array of entries
     */
    public static List<Endpoint> readEndpoints(JsonFields list) {
        return new EntryReader("known list", Map.of()).read(list, false);
    }

    /**
     * Parses a response of discovery.
     *
     * @param source the origin of the response, for the log
     * @param knownEndpoints the newest entry of each endpoint, by route
     * @throws IOException if the text is not JSON
     * @throws MalformedInputException if the text is not exactly one list with a valid revision and an array of entries
     */
    static EndpointList parse(String text, String source, Map<String, Endpoint> knownEndpoints) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            parser.nextToken();
            JsonFields list = JsonFields.ofObject("list", JsonFields.read(parser));
            if (parser.nextToken() != null) {
                throw new MalformedInputException("unexpected data after the list");
            }
            long revision = revision(list);
            boolean isFull = list.booleanOrFalse(DiscoveryProtocol.IS_FULL);
            EntryReader reader = new EntryReader(source, knownEndpoints);
            List<Endpoint> endpoints = reader.read(list, isFull);
            return new EndpointList(revision, isFull, endpoints, reader.isComplete);
        }
    }

    /** Parses the entries of one list. */
    private static final class EntryReader {
        private final String source;
        private final Map<String, Endpoint> knownEndpoints;
        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Set<String> routes = new HashSet<>();
        private boolean isComplete = true;
        /** True if a malformed entry could not be attributed to a known endpoint. */
        private boolean hasUnattributedEntry;

        EntryReader(String source, Map<String, Endpoint> knownEndpoints) {
            this.source = source;
            this.knownEndpoints = knownEndpoints;
        }

        List<Endpoint> read(JsonFields list, boolean isFull) {
            if (list.value(DiscoveryProtocol.ENDPOINTS) == null) {
                throw new MalformedInputException(source + ": " + DiscoveryProtocol.ENDPOINTS + ": an array is needed");
            }
            int position = 0;
            for (Object entry : list.listOrEmpty(DiscoveryProtocol.ENDPOINTS)) {
                position++;
                try {
                    add(readEntry(JsonFields.ofObject(DiscoveryProtocol.ENDPOINTS, entry)));
                } catch (MalformedInputException | IllegalArgumentException | ArithmeticException e) {
                    skip(entry, position, e);
                }
            }
            if (isFull && hasUnattributedEntry) {
                retainUnlistedEndpoints();
            }
            return endpoints;
        }

        private void add(Endpoint endpoint) {
            routes.add(endpoint.entry().route());
            endpoints.add(endpoint);
        }

        /** Skips a malformed entry and, if its endpoint is known, adds the known entry instead. */
        private void skip(Object entry, int position, RuntimeException reason) {
            isComplete = false;
            Map<?, ?> fields = entry instanceof Map<?, ?> object ? object : Map.of();
            Object route = fields.get(DiscoveryProtocol.ROUTE);
            Log.line("discovery: entry skipped source=" + source + " position=" + position
                    + (route == null ? "" : " route=" + route) + " error=" + reason.getMessage());
            Endpoint known = route == null ? null : knownEndpoints.get(route);
            if (known == null) {
                hasUnattributedEntry = true;
            } else {
                add(withState(known, fields.get(DiscoveryProtocol.STATE)));
            }
        }

        private void retainUnlistedEndpoints() {
            for (Endpoint endpoint : knownEndpoints.values()) {
                if (!routes.contains(endpoint.entry().route())) {
                    endpoints.add(endpoint);
                }
            }
        }
    }

    /** Returns an endpoint with the state of a newer entry, or unchanged if that state is listed or invalid. */
    private static Endpoint withState(Endpoint endpoint, Object state) {
        EndpointEntry entry = endpoint.entry();
        Availability availability =
                switch (String.valueOf(state)) {
                    case DiscoveryProtocol.STATE_DRAINING -> Availability.DRAINING;
                    case DiscoveryProtocol.STATE_REMOVED -> Availability.REMOVED;
                    default -> entry.availability();
                };
        return new Endpoint(entry.withAvailability(availability), endpoint.address());
    }

    private static Endpoint readEntry(JsonFields fields) {
        Availability availability = availability(fields.text(DiscoveryProtocol.STATE));
        EndpointEntry entry = new EndpointEntry(
                fields.text(DiscoveryProtocol.ROUTE),
                Math.toIntExact(fields.wholeNumber(DiscoveryProtocol.DESTINATION)),
                fields.text(DiscoveryProtocol.KIND),
                fields.text(DiscoveryProtocol.ZONE),
                availability,
                fields.number(DiscoveryProtocol.RATE_PER_SECOND, 0));
        return new Endpoint(entry, Endpoint.address(fields.text(DiscoveryProtocol.ADDRESS)));
    }

    private static Availability availability(String state) {
        return switch (state) {
            case DiscoveryProtocol.STATE_LISTED -> Availability.LISTED;
            case DiscoveryProtocol.STATE_DRAINING -> Availability.DRAINING;
            case DiscoveryProtocol.STATE_REMOVED -> Availability.REMOVED;
            default -> throw new MalformedInputException("unknown state " + state);
        };
    }
}
