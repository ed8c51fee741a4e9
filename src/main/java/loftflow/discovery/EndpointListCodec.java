package loftflow.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
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
    /** The most endpoints that a relay knows; further ones of a list are skipped. */
    private static final int MAX_ENDPOINTS = 4096;
    /** The most entries of a list that are read: those of all endpoints, and as many that are malformed. */
    private static final int MAX_ENTRIES = 2 * MAX_ENDPOINTS;
    /** The most characters of a text in an entry. */
    private static final int MAX_TEXT_CHARS = 256;
    /** So many entries of a list are logged if they are malformed. */
    private static final int MAX_LOGGED_ENTRIES = 20;

    private static final Set<String> LIST_MEMBERS = Set.of(DiscoveryProtocol.REVISION, DiscoveryProtocol.IS_FULL);
    private static final Set<String> ENTRY_MEMBERS = Set.of(
            DiscoveryProtocol.ROUTE,
            DiscoveryProtocol.DESTINATION,
            DiscoveryProtocol.KIND,
            DiscoveryProtocol.ZONE,
            DiscoveryProtocol.STATE,
            DiscoveryProtocol.RATE_PER_SECOND,
            DiscoveryProtocol.ADDRESS);

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
        if (list.value(DiscoveryProtocol.ENDPOINTS) == null) {
            throw new MalformedInputException("known list: " + DiscoveryProtocol.ENDPOINTS + ": an array is needed");
        }
        EntryReader reader = new EntryReader("known list", Map.of());
        list.listOrEmpty(DiscoveryProtocol.ENDPOINTS).forEach(reader::read);
        return reader.finish(false);
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
            EntryReader reader = new EntryReader(source, knownEndpoints);
            JsonFields list = JsonFields.ofObject("list", readList(parser, reader));
            if (!reader.hasBegun) {
                throw new MalformedInputException(source + ": " + DiscoveryProtocol.ENDPOINTS + ": an array is needed");
            }
            long revision = revision(list);
            boolean isFull = list.booleanOrFalse(DiscoveryProtocol.IS_FULL);
            return new EndpointList(revision, isFull, reader.finish(isFull), reader.isComplete);
        }
    }

    /** Reads the entries of a list, and returns its other members that are used. */
    private static Map<String, Object> readList(JsonParser parser, EntryReader reader) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedInputException("list: an object is needed");
        }
        Map<String, Object> members = new HashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            JsonToken value = parser.nextToken();
            if (name.equals(DiscoveryProtocol.ENDPOINTS)) {
                readEntries(parser, reader);
            } else if (LIST_MEMBERS.contains(name) && value.isScalarValue()) {
                members.put(name, JsonFields.read(parser));
            } else {
                parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw new MalformedInputException("unexpected data after the list");
        }
        return members;
    }

    /** Reads the entries one by one, so that the memory of a list is that of the endpoints in it. */
    private static void readEntries(JsonParser parser, EntryReader reader) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            parser.skipChildren();
            return;
        }
        reader.hasBegun = true;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (reader.isAtLimit()) {
                parser.skipChildren();
                reader.onIgnored();
            } else {
                reader.read(JsonFields.readMembers(parser, ENTRY_MEMBERS));
            }
        }
    }

    /** Parses the entries of one list. */
    private static final class EntryReader {
        private final String source;
        private final Map<String, Endpoint> knownEndpoints;
        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Set<String> routes = new HashSet<>();
        private boolean isComplete = true;
        /** Whether the array of entries has begun. */
        private boolean hasBegun;

        private int position;
        private int newCount;
        private int skippedCount;
        /** True if a malformed entry could not be attributed to a known endpoint. */
        private boolean hasUnattributedEntry;

        EntryReader(String source, Map<String, Endpoint> knownEndpoints) {
            this.source = source;
            this.knownEndpoints = knownEndpoints;
        }

        /** Returns whether so many entries have been read that further ones are ignored. */
        boolean isAtLimit() {
            return position >= MAX_ENTRIES;
        }

        /** Called for an entry that has not been read. */
        void onIgnored() {
            isComplete = false;
            hasUnattributedEntry = true;
        }

        /** Reads the next entry, and adds it or skips it. */
        void read(Object entry) {
            position++;
            try {
                Endpoint endpoint = readEntry(JsonFields.ofObject(DiscoveryProtocol.ENDPOINTS, entry));
                countNew(endpoint.entry().route());
                add(endpoint);
            } catch (MalformedInputException | IllegalArgumentException | ArithmeticException e) {
                skip(entry, e);
            }
        }

        private void countNew(String route) {
            boolean isNew = !knownEndpoints.containsKey(route);
            if (isNew && knownEndpoints.size() + newCount >= MAX_ENDPOINTS || endpoints.size() >= MAX_ENDPOINTS) {
                throw new MalformedInputException("more than " + MAX_ENDPOINTS + " endpoints");
            }
            newCount += isNew ? 1 : 0;
        }

        /** Returns the endpoints of all entries. */
        List<Endpoint> finish(boolean isFull) {
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
        private void skip(Object entry, RuntimeException reason) {
            isComplete = false;
            Map<?, ?> fields = entry instanceof Map<?, ?> object ? object : Map.of();
            Object route = fields.get(DiscoveryProtocol.ROUTE);
            skippedCount++;
            if (skippedCount <= MAX_LOGGED_ENTRIES) {
                Log.line("discovery: entry skipped source=" + source + " position=" + position
                        + (route == null ? "" : " route=" + route) + " error=" + reason.getMessage());
            }
            Endpoint known = route == null ? null : knownEndpoints.get(route);
            if (known == null || endpoints.size() >= MAX_ENDPOINTS) {
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
                text(fields, DiscoveryProtocol.ROUTE),
                Math.toIntExact(fields.wholeNumber(DiscoveryProtocol.DESTINATION)),
                text(fields, DiscoveryProtocol.KIND),
                text(fields, DiscoveryProtocol.ZONE),
                availability,
                fields.number(DiscoveryProtocol.RATE_PER_SECOND, 0));
        return new Endpoint(entry, Endpoint.address(text(fields, DiscoveryProtocol.ADDRESS)));
    }

    private static String text(JsonFields fields, String name) {
        String text = fields.text(name);
        if (text.length() > MAX_TEXT_CHARS) {
            throw new MalformedInputException(name + ": more than " + MAX_TEXT_CHARS + " characters");
        }
        return text;
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
