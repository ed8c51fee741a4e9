package loftflow.config.tool;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loftflow.config.Config;
import loftflow.config.PlatformConfigReader;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.protocol.PlatformSettingsProtocol;

/**
 * Checks a platform's JSON ({@code EDGE_CONFIG}). Errors are what keeps a relay from starting, in the words of
 * {@code serve}; contradictions are warnings, since the platform's word holds. Keys that are unknown are the platform's
 * own business.
 */
final class PlatformFile {
    /** SIGKILL comes no sooner after SIGTERM (DEPLOY). */
    private static final long EARLIEST_KILL_MICROS = 3_700_000;

    private final String file;
    private final Map<String, JsonLocation> places = new HashMap<>();
    private final List<Finding> findings = new ArrayList<>();

    private PlatformFile(String file) {
        this.file = file;
    }

    static List<Finding> check(String file, String text) {
        PlatformFile check = new PlatformFile(file);
        check.read(text);
        check.findings.sort(Finding.BY_POSITION);
        return check.findings;
    }

    private void read(String text) {
        JsonFactory json = new JsonFactory();
        try (JsonParser parser = json.createParser(text)) {
            index(parser, "");
        } catch (JsonParseException e) {
            add(Finding.Severity.ERROR, e.getLocation(), "", "no JSON: " + e.getOriginalMessage());
            return;
        } catch (IOException e) {
            add(Finding.Severity.ERROR, null, "", "no JSON: " + e.getMessage());
            return;
        }
        try (JsonParser parser = json.createParser(text)) {
            parser.nextToken();
            contradictions(PlatformConfigReader.parse(
                    JsonFields.ofObject("config", JsonFields.read(parser)), Path.of("/"), new byte[0]));
        } catch (IOException | MalformedInputException | IllegalArgumentException e) {
            String reason = e.getMessage();
            String key = places.keySet().stream()
                    .filter(k -> !k.isEmpty() && reason.contains(k))
                    .max((a, b) -> a.length() - b.length())
                    .orElse("");
            add(Finding.Severity.ERROR, places.get(key), key, reason);
        }
    }

    /** Notes where each key stands, and keys that stand twice in one object. */
    private void index(JsonParser parser, String prefix) throws IOException {
        JsonToken token = prefix.isEmpty() ? parser.nextToken() : parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = prefix.isEmpty() ? parser.currentName() : prefix + "." + parser.currentName();
                JsonLocation at = parser.currentTokenLocation();
                if (places.putIfAbsent(key, at) != null) {
                    add(
                            Finding.Severity.ERROR,
                            at,
                            key,
                            "stands in line " + places.get(key).getLineNr() + " already");
                }
                parser.nextToken();
                index(parser, key);
            }
        } else if (token == JsonToken.START_ARRAY) {
            for (int i = 1; parser.nextToken() != JsonToken.END_ARRAY; i++) {
                index(parser, prefix + "[" + i + "]");
            }
        }
    }

    private void contradictions(Config config) {
        PolicySettings settings = config.settings();
        RelayLimits limits = settings.limits();
        if (config.maxUpstreamConnections() < limits.maxConcurrentCalls()) {
            warn(
                    "limits.sockets",
                    config.maxUpstreamConnections() + " connections to hosts are left, fewer than"
                            + " settings." + PlatformSettingsProtocol.DELIVERY_SETTINGS + "."
                            + PlatformSettingsProtocol.MAX_CONCURRENT_CALLS + " = " + limits.maxConcurrentCalls()
                            + "; calls will wait for one another");
        }
        if (settings.rules().drainGraceMicros() >= EARLIEST_KILL_MICROS) {
            warn(
                    "settings.contract.drain-grace-s",
                    Units.formatDuration(settings.rules().drainGraceMicros()) + " is no shorter than "
                            + Units.formatDuration(EARLIEST_KILL_MICROS)
                            + ", after which a stopped relay may be killed");
        }
        for (int i = 0; i < settings.classes().size(); i++) {
            RequestClass type = settings.classes().get(i);
            String key = "settings.classes[" + (i + 1) + "]";
            if (type.deadlineMicros() <= limits.connectTimeoutMicros()) {
                warn(
                        key + "." + PlatformSettingsProtocol.DEADLINE_SECONDS,
                        Units.formatDuration(type.deadlineMicros()) + " is no longer than"
                                + " settings.limits.connect-timeout-s, "
                                + Units.formatDuration(limits.connectTimeoutMicros()));
            }
            if (type.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                    && type.keyWindowMicros() <= limits.connectTimeoutMicros()) {
                warn(
                        key + "." + PlatformSettingsProtocol.KEY_WINDOW_SECONDS,
                        Units.formatDuration(type.keyWindowMicros()) + " is no longer than"
                                + " settings.limits.connect-timeout-s, "
                                + Units.formatDuration(limits.connectTimeoutMicros())
                                + ": no retry could be made");
            }
        }
    }

    private void warn(String key, String reason) {
        add(Finding.Severity.WARNING, places.get(key), key, reason);
    }

    private void add(Finding.Severity severity, JsonLocation at, String key, String reason) {
        findings.add(new Finding(
                severity,
                file,
                at == null ? 1 : at.getLineNr(),
                at == null ? 1 : at.getColumnNr(),
                key,
                reason.replaceAll("\\p{Cntrl}+", " ")));
    }
}
