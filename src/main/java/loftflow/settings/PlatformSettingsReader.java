package loftflow.settings;

import java.util.ArrayList;
import java.util.List;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.policy.api.Tenant;
import loftflow.policy.api.Zone;

/**
 * Reads the settings object that the simulator's first message and a platform's configuration share, and maps its field
 * names
 * to the terms of {@code policy.api}. The only class that spells those names.
 */
public final class PlatformSettingsReader {
    private PlatformSettingsReader() {}

    /**
     * Reads the settings of one relay.
     *
     * @param seed of the policy's random source
     * @param params the settings object
     * @throws MalformedInputException where a member is missing or malformed
     */
    public static PolicySettings read(long seed, JsonFields params) {
        JsonFields info = params.object("family-info");
        return new PolicySettings(
                seed,
                (int) params.whole("me"),
                (int) params.whole("fleet-size"),
                params.text("zone"),
                classes(params),
                tenants(params),
                kinds(params, info),
                zones(params, info),
                limits(params.object("limits"), info),
                rules(params.object("contract")),
                params.number("over-share-worth", 1),
                "by_half".equals(info.textOrNull("fades")),
                "subscribe".equals(params.textOrNull("registry-mode")),
                rateHint(params),
                params.object("fees").number("cross-zone", 0));
    }

    private static RateHint rateHint(JsonFields params) {
        String source = params.textOrNull("weight-source");
        return source == null
                ? RateHint.NONE
                : switch (source) {
                    case "nominal" -> RateHint.NOMINAL;
                    case "rough" -> RateHint.ROUGH;
                    default -> RateHint.NONE;
                };
    }

    private static List<RequestClass> classes(JsonFields params) {
        List<RequestClass> classes = new ArrayList<>();
        for (Object json : params.list("classes")) {
            JsonFields entry = JsonFields.ofObject("classes", json);
            classes.add(new RequestClass(
                    entry.text("name"),
                    repeat(entry.text("repeat")),
                    scope(entry),
                    entry.micros("dedup-window-s", 0),
                    entry.micros("goal-time-s"),
                    entry.micros("deadline-s"),
                    entry.number("worth", 1),
                    entry.number("late-worth", 0),
                    entry.flag("fifo-by-key")));
        }
        return classes;
    }

    private static Idempotency repeat(String word) {
        return switch (word) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENT_BY_KEY;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new MalformedInputException("classes: unknown repeat " + word);
        };
    }

    private static KeyScope scope(JsonFields entry) {
        String word = entry.textOrNull("key-scope");
        return word == null
                ? KeyScope.ALL
                : switch (word) {
                    case "all" -> KeyScope.ALL;
                    case "zone" -> KeyScope.ZONE;
                    case "cell" -> KeyScope.CELL;
                    default -> throw new MalformedInputException("classes: unknown key-scope " + word);
                };
    }

    private static List<Tenant> tenants(JsonFields params) {
        List<Tenant> tenants = new ArrayList<>();
        for (Object json : params.list("accounts")) {
            JsonFields entry = JsonFields.ofObject("accounts", json);
            tenants.add(new Tenant(entry.text("name"), entry.number("quota-rps", 0)));
        }
        return tenants;
    }

    private static List<DestinationKind> kinds(JsonFields params, JsonFields info) {
        List<?> names = params.list("kinds");
        List<?> apart = info.list("routes-apart");
        List<?> batches = info.list("batch-by-kind");
        List<DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            int batch = i < batches.size() && batches.get(i) instanceof Number n ? n.intValue() : 1;
            boolean separate = i < apart.size() && Boolean.TRUE.equals(apart.get(i));
            kinds.add(new DestinationKind(String.valueOf(names.get(i)), separate, batch));
        }
        return kinds;
    }

    private static List<Zone> zones(JsonFields params, JsonFields info) {
        List<?> names = params.list("zones");
        List<?> tolls = info.list("toll");
        List<Zone> zones = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            double toll = i < tolls.size() && tolls.get(i) instanceof Number n ? n.doubleValue() : 0;
            zones.add(new Zone(String.valueOf(names.get(i)), toll));
        }
        return zones;
    }

    private static RelayLimits limits(JsonFields limits, JsonFields info) {
        return new RelayLimits(
                (int) info.whole("call-slots"),
                (int) limits.whole("max-open"),
                (int) limits.whole("send-cap"),
                limits.flag("may-cancel"),
                limits.flag("probes"),
                limits.flag("peers"),
                limits.flag("second-copies"),
                limits.flag("retry-after"),
                limits.micros("connect-timeout-s", 0));
    }

    private static ServiceRules rules(JsonFields contract) {
        return new ServiceRules(
                contract.micros("answer-slack-s", 0),
                contract.micros("drain-grace-s", 0),
                contract.number("fall-multiple", 1),
                contract.micros("fall-s", 0),
                contract.number("cold-from", 0),
                contract.micros("warm-up-s", 0),
                contract.micros("must-ask-in-s", 0),
                contract.micros("order-pause-s", 0));
    }
}
