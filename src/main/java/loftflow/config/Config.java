package loftflow.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loftflow.discovery.EndpointListCodec;
import loftflow.engine.Endpoint;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.PolicySettings;
import loftflow.settings.PlatformSettingsReader;

/**
 * Everything that a relay is told at its start. Spans are in microseconds.
 *
 * @param listen where programs hand messages in
 * @param discovery the agent that tells the list of hosts; null where the list below is all there is
 * @param notices where ends other than delivery are told; null where they go to a file beside the journal
 * @param clientConnections how many connections clients may hold
 * @param hostConnections how many connections to hosts there may be
 * @param period how long what comes in is gathered before the module acts
 * @param idleSpan after which a host closes an idle connection at the latest
 * @param knownKind whether the known list is all there is, or an old one that discovery will replace
 * @param knownVersion -1 where no earlier list is known
 * @param known empty where no earlier list is known
 * @param amqp what is spoken of AMQP; null where nothing is
 * @param http2 what is spoken of HTTP/2; null where nothing is
 * @param keeping what is kept of messages that could not be delivered; null where nothing is
 * @param memory what is remembered of partners over a restart; null where nothing is
 * @param source the file that all this was read from
 */
public record Config(
        List<InetSocketAddress> listen,
        InetSocketAddress discovery,
        InetSocketAddress notices,
        Path state,
        int clientConnections,
        int hostConnections,
        long diskBytes,
        PolicySettings settings,
        long period,
        long idleSpan,
        boolean reports,
        EndpointListKind knownKind,
        long knownVersion,
        List<Endpoint> known,
        Keeping keeping,
        Amqp amqp,
        Http2 http2,
        Memory memory,
        byte[] source) {

    /**
     * What is remembered of partners over a restart. Spans in microseconds.
     *
     * @param owner which relay this is: what another one remembered is not used
     * @param limit bytes in the folder that lasts
     * @param rate bytes a second that are written
     * @param halfLife in which trust halves
     * @param settle how long a list of discovery that is in doubt must be told before it is believed; 0 for no doubts
     * @param margin added to waits that outlast a restart
     * @param sync whether what is saved must be on the disk itself
     */
    public record Memory(String owner, long limit, long rate, long halfLife, long settle, long margin, boolean sync) {}

    /**
     * What is kept of messages that could not be delivered: bytes, messages a second, microseconds.
     *
     * @param limit space in the folder that lasts
     * @param high share of it from which on the store is full
     * @param low share of it below which it is not full any more
     * @param shelfLives by class
     */
    public record Keeping(
            long limit,
            long entries,
            double high,
            double low,
            boolean refuseWhenFull,
            long age,
            double pace,
            long pause,
            long clockMargin,
            long listenOn,
            Map<String, Long> shelfLives) {}

    /**
     * What is spoken of AMQP 0-9-1.
     *
     * @param routes how endpoints that are brokers are reached, by their ids
     * @param connections that programs may hold at each of the fronts
     * @param span for which ids are remembered
     * @param entries ids that are remembered
     */
    public record Amqp(
            Map<String, BrokerRoute> routes,
            List<AmqpFront> fronts,
            List<AmqpQueue> queues,
            List<MappingRule> mappings,
            int connections,
            long span,
            int entries) {}

    /** How to log in at a broker; {@code trust} and {@code tlsName} may be null. The heartbeat is in seconds. */
    public record Login(
            String user, String password, String virtualHost, int heartbeat, boolean tls, Path trust, String tlsName) {}

    /** Where messages of an endpoint are published. */
    public record BrokerRoute(Login login, String exchange, String routingKey) {}

    /**
     * A listener; {@code user} and {@code password} are null where everyone may come in. The heartbeat is in seconds.
     */
    public record AmqpFront(
            String name,
            InetSocketAddress listen,
            String exchange,
            String user,
            String password,
            int heartbeat,
            int channels,
            int frame,
            long replyHold) {}

    /** A queue to take messages from; {@code replyQueue} may be null. */
    public record AmqpQueue(
            String name,
            InetSocketAddress address,
            Login login,
            String queue,
            int prefetch,
            boolean autoAcknowledge,
            String ends,
            String replyQueue) {}

    /** Sources of a message's parts, as text; {@code contentType} and those that may be left out may be null. */
    public record MappingRule(
            String contentType,
            String id,
            String requestClass,
            String tenant,
            String key,
            String destination,
            String budget) {}

    /**
     * What is spoken of HTTP/2.
     *
     * @param streams that all connections of one front may have open
     * @param buffer bytes that half-read bodies of one front may take
     */
    public record Http2(List<Http2Front> fronts, int streams, long buffer) {}

    /** A listener for HTTP/2; spans in microseconds, sizes in bytes, {@code resets} a second, {@code age} 0 for any. */
    public record Http2Front(
            InetSocketAddress listen,
            int streams,
            int headerList,
            int window,
            long idle,
            long age,
            long stall,
            double resets,
            long drain) {}

    private static final long MIB = 1 << 20;
    /** Descriptors for all but connections: the JVM's own, the journal's, discovery's, and one just accepted. */
    private static final int OTHER_DESCRIPTORS = 36;

    private static final double CLIENT_SHARE = 0.55;
    /** What the journal leaves of the platform's disk at its fullest, less some for rounding up to whole blocks. */
    private static final double MOST_MEMORY = 0.08;

    /** A setting that is missing or makes no sense; the message is for staff. */
    public static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        public BadConfigException(String message) {
            super(message);
        }
    }

    /** Where a configuration comes from, again and again. */
    public interface Source {
        /** Reads and checks the whole of it. */
        Config read() throws BadConfigException;

        /** The file's bytes, to tell whether it has changed. */
        byte[] bytes() throws IOException, BadConfigException;
    }

    /** The platform's configuration, which the environment names; nothing is remembered over a restart. */
    public static Source ofPlatform(Map<String, String> environment) {
        return ofPlatform(environment, null);
    }

    /**
     * As above, with a file that says what is remembered over a restart.
     *
     * @param memoryFile a JSON object: {@code disk-share} of the platform's {@code disk_mb}, {@code write-rate} in
     *     bytes a
     *     second, {@code half-life-s}, {@code settle-s} and {@code wait-margin-s} in seconds; null for nothing
     */
    public static Source ofPlatform(Map<String, String> environment, Path memoryFile) {
        return new Source() {
            @Override
            public Config read() throws BadConfigException {
                return Config.read(environment, memoryFile == null ? null : json("--memory", memoryFile));
            }

            @Override
            public byte[] bytes() throws IOException, BadConfigException {
                return Files.readAllBytes(file(environment));
            }
        };
    }

    /** Reads the configuration that the environment names. */
    private static Config read(Map<String, String> environment, byte[] memory) throws BadConfigException {
        Path state = Path.of(variable(environment, "EDGE_STATE"));
        byte[] source = json("EDGE_CONFIG", file(environment));
        Config config = read("EDGE_CONFIG", source, json -> of(json, state, source));
        return memory == null ? config : read("--memory", memory, config::remembering);
    }

    private static byte[] json(String what, Path file) throws BadConfigException {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new BadConfigException(what + ": can't be read: " + e.getMessage());
        }
    }

    private static Config read(String what, byte[] source, Function<JsonFields, Config> by) throws BadConfigException {
        try (JsonParser parser = new JsonFactory().createParser(source)) {
            parser.nextToken();
            return by.apply(JsonFields.ofObject("config", JsonFields.read(parser)));
        } catch (IOException e) {
            throw new BadConfigException(what + ": can't be read: " + e.getMessage());
        } catch (MalformedInputException | IllegalArgumentException e) {
            throw new BadConfigException(what + ": " + e.getMessage());
        }
    }

    /** The same with a memory, as the file for it says. */
    private Config remembering(JsonFields m) {
        double share = m.number("disk-share");
        if (!(share > 0 && share <= MOST_MEMORY)) {
            throw new IllegalArgumentException(
                    "disk-share: from 0 to " + MOST_MEMORY + ": the journal may need the rest");
        }
        Memory remembers = new Memory(
                "platform#" + settings.relayIndex(),
                (long) (diskBytes * share),
                atLeast(m, "write-rate", 1, m.whole("write-rate")),
                atLeast(m, "half-life-s", 1_000_000, m.micros("half-life-s")),
                atLeast(m, "settle-s", 0, m.micros("settle-s")),
                atLeast(m, "wait-margin-s", 0, m.micros("wait-margin-s")),
                false);
        return new Config(
                listen,
                discovery,
                notices,
                state,
                clientConnections,
                hostConnections,
                diskBytes,
                settings,
                period,
                idleSpan,
                reports,
                knownKind,
                knownVersion,
                known,
                keeping,
                amqp,
                http2,
                remembers,
                source);
    }

    private static long atLeast(JsonFields m, String name, long least, long value) {
        if (value < least) {
            throw new IllegalArgumentException(name + ": " + m.value(name) + " is too small");
        }
        return value;
    }

    /** The file that holds the configuration. */
    private static Path file(Map<String, String> environment) throws BadConfigException {
        return Path.of(variable(environment, "EDGE_CONFIG"));
    }

    /** Makes sense of the platform's JSON. */
    public static Config of(JsonFields json, Path state, byte[] source) {
        JsonFields params = json.object("settings");
        JsonFields limits = json.object("limits");
        PolicySettings settings = PlatformSettingsReader.read(Long.parseUnsignedLong(json.text("seed"), 16), params);
        long version = -1;
        List<Endpoint> known = List.of();
        if (json.value("known") != null) {
            JsonFields list = json.object("known");
            version = list.whole("rev");
            known = EndpointListCodec.readAll(list);
        }
        String how =
                params.value("stats") == null ? null : params.object("stats").textOrNull("how");
        int connections = sockets(limits) - OTHER_DESCRIPTORS;
        int clients = (int) Math.ceil(CLIENT_SHARE * connections);
        InetSocketAddress discovery = Endpoint.address(json.text("discovery"));
        return new Config(
                List.of(Endpoint.address(json.text("listen"))),
                discovery,
                discovery,
                state,
                clients,
                Math.max(1, connections - clients),
                (long) (limits.number("disk_mb") * MIB),
                settings,
                params.micros("period-s", 0),
                params.object("limits").micros("conn-idle-s"),
                how != null && !how.equals("off"),
                EndpointListKind.CACHED,
                version,
                known,
                null,
                null,
                null,
                null,
                source);
    }

    private static int sockets(JsonFields limits) {
        long sockets = limits.whole("sockets");
        if (sockets <= OTHER_DESCRIPTORS) {
            throw new IllegalArgumentException("limits.sockets: more than " + OTHER_DESCRIPTORS + " are needed");
        }
        return (int) Math.min(sockets, Integer.MAX_VALUE);
    }

    private static String variable(Map<String, String> environment, String name) throws BadConfigException {
        String value = environment.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadConfigException(name + " is not set");
        }
        return value;
    }
}
