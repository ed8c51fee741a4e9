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
import loftflow.config.Config.BadConfigException;
import loftflow.discovery.EndpointListCodec;
import loftflow.engine.Endpoint;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.PolicySettings;
import loftflow.protocol.PlatformSettingsProtocol;
import loftflow.settings.PlatformSettingsReader;

/**
 * Reads the platform's JSON configuration, which environment variables name, and maps its member names to the terms of
 * {@link Config}. The members of its settings object are read by {@link PlatformSettingsReader}.
 */
public final class PlatformConfigReader {
    private static final String CONFIG_FILE_VARIABLE = "EDGE_CONFIG";
    private static final String STATE_DIRECTORY_VARIABLE = "EDGE_STATE";
    /** The option of {@code serve} that names the warm-start file. */
    private static final String WARM_START_OPTION = "--memory";

    private static final long BYTES_PER_MIB = 1 << 20;
    /** Descriptors for all but connections: the JVM's own, the journal's, discovery's, and one just accepted. */
    private static final int RESERVED_DESCRIPTORS = 36;
    /** The part of the connections that clients may hold; the rest is for upstreams. */
    private static final double CLIENT_CONNECTION_SHARE = 0.55;
    /** What the journal at its fullest leaves of the disk, less a part for rounding up to whole blocks. */
    private static final double MAX_WARM_START_DISK_SHARE = 0.08;

    /** Members of the configuration. */
    private static final class Member {
        static final String SEED = "seed";
        static final String LISTEN = "listen";
        static final String DISCOVERY = "discovery";
        static final String SETTINGS = "settings";
        static final String SETTINGS_PERIOD = "period-s";
        static final String SETTINGS_LIMITS_IDLE_TIMEOUT = "conn-idle-s";
        static final String SETTINGS_LOAD_REPORTS = "stats";
        static final String SETTINGS_LOAD_REPORTS_HOW = "how";
        static final String LIMITS = "limits";
        static final String LIMITS_DISK_MIB = "disk_mb";
        static final String LIMITS_SOCKETS = "sockets";
        static final String KNOWN_LIST = "known";

        private Member() {}
    }

    /** Members of the warm-start file. */
    private static final class WarmStartMember {
        static final String DISK_SHARE = "disk-share";
        static final String WRITE_RATE = "write-rate";
        static final String HALF_LIFE = "half-life-s";
        static final String LIST_CONFIRMATION = "settle-s";
        static final String WAIT_MARGIN = "wait-margin-s";

        private WarmStartMember() {}
    }

    private PlatformConfigReader() {}

    /**
     * The platform's configuration as a source that can be read again.
     *
     * @param environment has {@code EDGE_CONFIG}, a file, and {@code EDGE_STATE}, a directory
     * @param warmStartFile a JSON object: {@code disk-share} of the platform's {@code disk_mb}, {@code write-rate} in
     *     bytes a second, {@code half-life-s}, {@code settle-s} and {@code wait-margin-s} in seconds; null for no warm
     *     start
     */
    public static Config.Source source(Map<String, String> environment, Path warmStartFile) {
        return new Config.Source() {
            @Override
            public Config read() throws BadConfigException {
                return PlatformConfigReader.read(
                        environment, warmStartFile == null ? null : contentOf(WARM_START_OPTION, warmStartFile));
            }

            @Override
            public byte[] bytes() throws IOException, BadConfigException {
                return Files.readAllBytes(configFile(environment));
            }
        };
    }

    private static Config read(Map<String, String> environment, byte[] warmStartJson) throws BadConfigException {
        Path stateDirectory = Path.of(variable(environment, STATE_DIRECTORY_VARIABLE));
        byte[] configJson = contentOf(CONFIG_FILE_VARIABLE, configFile(environment));
        Config config = parseObject(CONFIG_FILE_VARIABLE, configJson, json -> parse(json, stateDirectory, configJson));
        return warmStartJson == null
                ? config
                : parseObject(WARM_START_OPTION, warmStartJson, json -> config.withWarmStart(warmStart(json, config)));
    }

    private static Path configFile(Map<String, String> environment) throws BadConfigException {
        return Path.of(variable(environment, CONFIG_FILE_VARIABLE));
    }

    private static String variable(Map<String, String> environment, String name) throws BadConfigException {
        String value = environment.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadConfigException(name + " is not set");
        }
        return value;
    }

    private static byte[] contentOf(String origin, Path file) throws BadConfigException {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw unreadable(origin, e);
        }
    }

    private static Config parseObject(String origin, byte[] content, Function<JsonFields, Config> mapping)
            throws BadConfigException {
        try (JsonParser parser = new JsonFactory().createParser(content)) {
            parser.nextToken();
            return mapping.apply(JsonFields.ofObject("config", JsonFields.read(parser)));
        } catch (IOException e) {
            throw unreadable(origin, e);
        } catch (MalformedInputException | IllegalArgumentException e) {
            throw new BadConfigException(origin + ": " + e.getMessage());
        }
    }

    private static BadConfigException unreadable(String origin, IOException cause) {
        return new BadConfigException(origin + ": can't be read: " + cause.getMessage());
    }

    /**
     * Maps the platform's JSON to a configuration with no warm start.
     *
     * @param sourceBytes the file's content, which {@link Config#sourceBytes()} will be
     * @throws MalformedInputException where a member is missing or malformed
     * @throws IllegalArgumentException where a value is out of range
     */
    public static Config parse(JsonFields json, Path stateDirectory, byte[] sourceBytes) {
        JsonFields settingsJson = json.object(Member.SETTINGS);
        JsonFields limits = json.object(Member.LIMITS);
        PolicySettings settings =
                PlatformSettingsReader.read(Long.parseUnsignedLong(json.text(Member.SEED), 16), settingsJson);
        long knownListVersion = -1;
        List<Endpoint> knownEndpoints = List.of();
        if (json.value(Member.KNOWN_LIST) != null) {
            JsonFields knownList = json.object(Member.KNOWN_LIST);
            knownListVersion = EndpointListCodec.revision(knownList);
            knownEndpoints = EndpointListCodec.readEndpoints(knownList);
        }
        boolean isLoadReportEnabled = isLoadReportEnabled(settingsJson);
        int connections = sockets(limits) - RESERVED_DESCRIPTORS;
        int clientConnections = (int) Math.ceil(CLIENT_CONNECTION_SHARE * connections);
        InetSocketAddress agent = Endpoint.address(json.text(Member.DISCOVERY));
        return new Config(
                List.of(Endpoint.address(json.text(Member.LISTEN))),
                agent,
                agent,
                stateDirectory,
                clientConnections,
                Math.max(1, connections - clientConnections),
                (long) (limits.number(Member.LIMITS_DISK_MIB) * BYTES_PER_MIB),
                settings,
                settingsJson.secondsAsMicros(Member.SETTINGS_PERIOD, 0),
                settingsJson
                        .object(PlatformSettingsProtocol.LIMITS)
                        .secondsAsMicros(Member.SETTINGS_LIMITS_IDLE_TIMEOUT),
                isLoadReportEnabled,
                EndpointListKind.CACHED,
                knownListVersion,
                knownEndpoints,
                null,
                null,
                null,
                null,
                sourceBytes);
    }

    private static boolean isLoadReportEnabled(JsonFields settingsJson) {
        if (settingsJson.value(Member.SETTINGS_LOAD_REPORTS) == null) {
            return false;
        }
        String how = settingsJson.object(Member.SETTINGS_LOAD_REPORTS).textOrNull(Member.SETTINGS_LOAD_REPORTS_HOW);
        return how != null && !how.equals("off");
    }

    private static int sockets(JsonFields limits) {
        long sockets = limits.wholeNumber(Member.LIMITS_SOCKETS);
        if (sockets <= RESERVED_DESCRIPTORS) {
            throw new IllegalArgumentException("limits.sockets: more than " + RESERVED_DESCRIPTORS + " are needed");
        }
        return (int) Math.min(sockets, Integer.MAX_VALUE);
    }

    private static Config.WarmStartConfig warmStart(JsonFields json, Config config) {
        double diskShare = json.number(WarmStartMember.DISK_SHARE);
        if (!(diskShare > 0 && diskShare <= MAX_WARM_START_DISK_SHARE)) {
            throw new IllegalArgumentException(WarmStartMember.DISK_SHARE + ": from 0 to " + MAX_WARM_START_DISK_SHARE
                    + ": the journal may need the rest");
        }
        return new Config.WarmStartConfig(
                "platform#" + config.settings().relayIndex(),
                (long) (config.diskBytes() * diskShare),
                atLeast(json, WarmStartMember.WRITE_RATE, 1, json.wholeNumber(WarmStartMember.WRITE_RATE)),
                atLeast(json, WarmStartMember.HALF_LIFE, 1_000_000, json.secondsAsMicros(WarmStartMember.HALF_LIFE)),
                atLeast(
                        json,
                        WarmStartMember.LIST_CONFIRMATION,
                        0,
                        json.secondsAsMicros(WarmStartMember.LIST_CONFIRMATION)),
                atLeast(json, WarmStartMember.WAIT_MARGIN, 0, json.secondsAsMicros(WarmStartMember.WAIT_MARGIN)),
                false);
    }

    private static long atLeast(JsonFields json, String member, long min, long value) {
        if (value < min) {
            throw new IllegalArgumentException(member + ": " + json.value(member) + " is too small");
        }
        return value;
    }
}
