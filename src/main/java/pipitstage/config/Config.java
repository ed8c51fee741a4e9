package pipitstage.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import pipitstage.Fields;
import pipitstage.Policy;
import pipitstage.WireCodec;
import pipitstage.WireException;
import pipitstage.engine.Target;
import pipitstage.platform.Targets;

/**
 * Everything that a relay is told at its start. Spans are in microseconds; {@code knownVersion} is -1 and
 * {@code known} empty where no earlier list is known; {@code source} is the file that all this was read from.
 */
public record Config(InetSocketAddress listen, InetSocketAddress discovery, Path state, int sockets, long diskBytes,
        Policy.Settings settings, long period, long idleSpan, boolean reports, long knownVersion,
        List<Target> known, byte[] source) {

    private static final long MIB = 1 << 20;
    /** Descriptors for all but connections: the JVM's own, the journal's, discovery's, and one just accepted. */
    private static final int OTHER_DESCRIPTORS = 36;
    private static final double CLIENT_SHARE = 0.55;

    /** A setting that is missing or makes no sense; the message is for staff. */
    public static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfigException(String message) {
            super(message);
        }
    }

    /** Reads the configuration that the environment names. */
    public static Config read(Map<String, String> environment) throws BadConfigException {
        Path file = file(environment);
        Path state = Path.of(variable(environment, "EDGE_STATE"));
        try {
            byte[] source = Files.readAllBytes(file);
            try (JsonParser parser = new JsonFactory().createParser(source)) {
                parser.nextToken();
                return of(Fields.ofObject("config", Fields.read(parser)), state, source);
            }
        } catch (IOException e) {
            throw new BadConfigException("EDGE_CONFIG: can't be read: " + e.getMessage());
        } catch (WireException | IllegalArgumentException e) {
            throw new BadConfigException("EDGE_CONFIG: " + e.getMessage());
        }
    }

    /** The file that holds the configuration. */
    public static Path file(Map<String, String> environment) throws BadConfigException {
        return Path.of(variable(environment, "EDGE_CONFIG"));
    }

    private static Config of(Fields json, Path state, byte[] source) {
        Fields params = json.object("settings");
        Fields limits = json.object("limits");
        Policy.Settings settings = WireCodec.settings(Long.parseUnsignedLong(json.text("seed"), 16), params);
        long version = -1;
        List<Target> known = List.of();
        if (json.value("known") != null) {
            Fields list = json.object("known");
            version = list.whole("rev");
            known = Targets.readAll(list);
        }
        String how = params.value("stats") == null ? null : params.object("stats").textOrNull("how");
        return new Config(Target.address(json.text("listen")), Target.address(json.text("discovery")), state,
                sockets(limits),
                (long) (limits.number("disk_mb") * MIB), settings, params.micros("period-s", 0),
                params.object("limits").micros("conn-idle-s"), how != null && !how.equals("off"), version, known,
                source);
    }

    private static int sockets(Fields limits) {
        long sockets = limits.whole("sockets");
        if (sockets <= OTHER_DESCRIPTORS) {
            throw new IllegalArgumentException("limits.sockets: more than " + OTHER_DESCRIPTORS + " are needed");
        }
        return (int) Math.min(sockets, Integer.MAX_VALUE);
    }

    /** How many connections clients may hold. */
    public int clientConnections() {
        return (int) Math.ceil(CLIENT_SHARE * (sockets - OTHER_DESCRIPTORS));
    }

    /** How many connections to hosts there may be. */
    public int hostConnections() {
        return Math.max(1, sockets - OTHER_DESCRIPTORS - clientConnections());
    }

    private static String variable(Map<String, String> environment, String name) throws BadConfigException {
        String value = environment.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadConfigException(name + " is not set");
        }
        return value;
    }
}
