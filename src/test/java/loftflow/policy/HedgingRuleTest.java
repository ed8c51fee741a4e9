package loftflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import loftflow.policy.api.HedgingRule;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which messages may be outstanding twice. */
class HedgingRuleTest {
    private static HedgingRule rule(boolean relayMayHedge, boolean classMayHedge, Idempotency idempotency) {
        PolicySettings base = PolicyHarness.settings();
        RelayLimits limits = base.limits();
        return new HedgingRule(new PolicySettings(
                base.seed(),
                base.relayIndex(),
                base.fleetSize(),
                base.zone(),
                List.of(new RequestClass("c", idempotency, KeyScope.ALL, 1, 1, 2, 1, 0, false, classMayHedge)),
                base.tenants(),
                base.kinds(),
                base.zones(),
                new RelayLimits(
                        limits.maxConcurrentCalls(),
                        limits.maxOpenMessages(),
                        limits.maxAttempts(),
                        true,
                        true,
                        false,
                        relayMayHedge,
                        false,
                        limits.connectTimeoutMicros()),
                base.rules(),
                base.overQuotaWeight(),
                base.halvingDecay(),
                base.mustSubscribe(),
                base.rateHint(),
                base.crossZoneCost()));
    }

    /** The setting of a class was not asked, and neither was that of the relay. */
    @ParameterizedTest
    @CsvSource({
        "true, true, IDEMPOTENT, true",
        "true, true, IDEMPOTENT_BY_KEY, true",
        "true, true, NON_IDEMPOTENT, false",
        "true, false, IDEMPOTENT, false",
        "false, true, IDEMPOTENT, false",
        "false, false, IDEMPOTENT_BY_KEY, false"
    })
    void relayAndClassMustBothAllowHedging(
            boolean relayMayHedge, boolean classMayHedge, Idempotency idempotency, boolean expected) {
        HedgingRule rule = rule(relayMayHedge, classMayHedge, idempotency);
        assertEquals(expected, rule.mayHedge("c"));
        assertFalse(rule.mayHedge("other"), "a class that the settings do not define");
    }
}
