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
import loftflow.protocol.PlatformSettingsProtocol;

/**
 * Reads the settings object that is part of both the simulator's first message and a platform's configuration, and maps
 * it to the types of {@code policy.api}. The field names are defined in {@link PlatformSettingsProtocol}.
 */
public final class PlatformSettingsReader {
    private PlatformSettingsReader() {}

    /**
     * Reads the settings of one relay.
     *
     * @param seed the seed of the policy's random source
     * @param settings the settings object
     * @throws MalformedInputException if a member is missing or malformed
     */
    public static PolicySettings read(long seed, JsonFields settings) {
        JsonFields deliverySettings = settings.object(PlatformSettingsProtocol.DELIVERY_SETTINGS);
        return new PolicySettings(
                seed,
                (int) settings.wholeNumber(PlatformSettingsProtocol.RELAY_INDEX),
                (int) settings.wholeNumber(PlatformSettingsProtocol.FLEET_SIZE),
                settings.text(PlatformSettingsProtocol.ZONE),
                classes(settings),
                tenants(settings),
                kinds(settings, deliverySettings),
                zones(settings, deliverySettings),
                limits(settings.object(PlatformSettingsProtocol.LIMITS), deliverySettings),
                rules(settings.object(PlatformSettingsProtocol.SERVICE_RULES)),
                settings.number(PlatformSettingsProtocol.OVER_QUOTA_WEIGHT, 1),
                PlatformSettingsProtocol.DECAY_BY_HALF.equals(
                        deliverySettings.textOrNull(PlatformSettingsProtocol.DECAY)),
                PlatformSettingsProtocol.DISCOVERY_MODE_SUBSCRIBE.equals(
                        settings.textOrNull(PlatformSettingsProtocol.DISCOVERY_MODE)),
                rateHint(settings),
                settings.object(PlatformSettingsProtocol.COSTS).number(PlatformSettingsProtocol.CROSS_ZONE_COST, 0));
    }

    private static RateHint rateHint(JsonFields settings) {
        String source = settings.textOrNull(PlatformSettingsProtocol.LISTED_RATE_SOURCE);
        return source == null
                ? RateHint.NONE
                : switch (source) {
                    case PlatformSettingsProtocol.LISTED_RATE_NOMINAL -> RateHint.NOMINAL;
                    case PlatformSettingsProtocol.LISTED_RATE_ROUGH -> RateHint.ROUGH;
                    default -> RateHint.NONE;
                };
    }

    private static List<RequestClass> classes(JsonFields settings) {
        List<RequestClass> classes = new ArrayList<>();
        for (Object json : settings.listOrEmpty(PlatformSettingsProtocol.CLASSES)) {
            JsonFields entry = JsonFields.ofObject(PlatformSettingsProtocol.CLASSES, json);
            classes.add(new RequestClass(
                    entry.text(PlatformSettingsProtocol.NAME),
                    idempotency(entry.text(PlatformSettingsProtocol.IDEMPOTENCY)),
                    keyScope(entry),
                    entry.secondsAsMicros(PlatformSettingsProtocol.KEY_WINDOW_SECONDS, 0),
                    entry.secondsAsMicros(PlatformSettingsProtocol.LATENCY_OBJECTIVE_SECONDS),
                    entry.secondsAsMicros(PlatformSettingsProtocol.DEADLINE_SECONDS),
                    entry.number(PlatformSettingsProtocol.PRIORITY_WEIGHT, 1),
                    entry.number(PlatformSettingsProtocol.LATE_WEIGHT, 0),
                    entry.booleanOrFalse(PlatformSettingsProtocol.ORDERED)));
        }
        return classes;
    }

    private static Idempotency idempotency(String value) {
        return switch (value) {
            case PlatformSettingsProtocol.IDEMPOTENT -> Idempotency.IDEMPOTENT;
            case PlatformSettingsProtocol.IDEMPOTENT_BY_KEY -> Idempotency.IDEMPOTENT_BY_KEY;
            case PlatformSettingsProtocol.NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
            default -> throw new MalformedInputException("classes: unknown value of repeat: " + value);
        };
    }

    private static KeyScope keyScope(JsonFields entry) {
        String value = entry.textOrNull(PlatformSettingsProtocol.KEY_SCOPE);
        return value == null
                ? KeyScope.ALL
                : switch (value) {
                    case PlatformSettingsProtocol.KEY_SCOPE_ALL -> KeyScope.ALL;
                    case PlatformSettingsProtocol.KEY_SCOPE_ZONE -> KeyScope.ZONE;
                    case PlatformSettingsProtocol.KEY_SCOPE_CELL -> KeyScope.CELL;
                    default -> throw new MalformedInputException("classes: unknown value of key-scope: " + value);
                };
    }

    private static List<Tenant> tenants(JsonFields settings) {
        List<Tenant> tenants = new ArrayList<>();
        for (Object json : settings.listOrEmpty(PlatformSettingsProtocol.TENANTS)) {
            JsonFields entry = JsonFields.ofObject(PlatformSettingsProtocol.TENANTS, json);
            tenants.add(new Tenant(
                    entry.text(PlatformSettingsProtocol.NAME),
                    entry.number(PlatformSettingsProtocol.QUOTA_PER_SECOND, 0)));
        }
        return tenants;
    }

    private static List<DestinationKind> kinds(JsonFields settings, JsonFields deliverySettings) {
        List<?> names = settings.listOrEmpty(PlatformSettingsProtocol.KINDS);
        List<?> independentRoutes = deliverySettings.listOrEmpty(PlatformSettingsProtocol.INDEPENDENT_ROUTES);
        List<?> maxBatchSizes = deliverySettings.listOrEmpty(PlatformSettingsProtocol.MAX_BATCH_SIZES);
        List<DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            int maxBatchSize = i < maxBatchSizes.size() && maxBatchSizes.get(i) instanceof Number n ? n.intValue() : 1;
            boolean hasIndependentRoutes =
                    i < independentRoutes.size() && Boolean.TRUE.equals(independentRoutes.get(i));
            kinds.add(new DestinationKind(String.valueOf(names.get(i)), hasIndependentRoutes, maxBatchSize));
        }
        return kinds;
    }

    private static List<Zone> zones(JsonFields settings, JsonFields deliverySettings) {
        List<?> names = settings.listOrEmpty(PlatformSettingsProtocol.ZONES);
        List<?> costs = deliverySettings.listOrEmpty(PlatformSettingsProtocol.ZONE_COSTS);
        List<Zone> zones = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            double cost = i < costs.size() && costs.get(i) instanceof Number n ? n.doubleValue() : 0;
            zones.add(new Zone(String.valueOf(names.get(i)), cost));
        }
        return zones;
    }

    private static RelayLimits limits(JsonFields limits, JsonFields deliverySettings) {
        return new RelayLimits(
                (int) deliverySettings.wholeNumber(PlatformSettingsProtocol.MAX_CONCURRENT_CALLS),
                (int) limits.wholeNumber(PlatformSettingsProtocol.MAX_OPEN_MESSAGES),
                (int) limits.wholeNumber(PlatformSettingsProtocol.MAX_ATTEMPTS),
                limits.booleanOrFalse(PlatformSettingsProtocol.CANCELLATION),
                limits.booleanOrFalse(PlatformSettingsProtocol.PROBES),
                limits.booleanOrFalse(PlatformSettingsProtocol.PEER_MESSAGES),
                limits.booleanOrFalse(PlatformSettingsProtocol.HEDGED_ATTEMPTS),
                limits.booleanOrFalse(PlatformSettingsProtocol.RETRY_AFTER),
                limits.secondsAsMicros(PlatformSettingsProtocol.CONNECT_TIMEOUT_SECONDS, 0));
    }

    private static ServiceRules rules(JsonFields rules) {
        return new ServiceRules(
                rules.secondsAsMicros(PlatformSettingsProtocol.COMPLETION_SLACK_SECONDS, 0),
                rules.secondsAsMicros(PlatformSettingsProtocol.DRAIN_GRACE_SECONDS, 0),
                rules.number(PlatformSettingsProtocol.OVERLOAD_MULTIPLE, 1),
                rules.secondsAsMicros(PlatformSettingsProtocol.OVERLOAD_WINDOW_SECONDS, 0),
                rules.number(PlatformSettingsProtocol.COLD_CAPACITY_SHARE, 0),
                rules.secondsAsMicros(PlatformSettingsProtocol.WARM_UP_SECONDS, 0),
                rules.secondsAsMicros(PlatformSettingsProtocol.WATCH_RENEWAL_SECONDS, 0),
                rules.secondsAsMicros(PlatformSettingsProtocol.ORDERING_PAUSE_SECONDS, 0));
    }
}
