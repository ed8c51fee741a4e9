package loftflow.deadletter;

import java.util.List;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;
import loftflow.policy.api.Zone;

/** Settings of the decision module in {@link DeadLetterCampaign}. */
final class CampaignSettings {
    /** Time for which a destination stores the key of a message. */
    static final long KEY_WINDOW_MICROS = 6_000_000;

    private static final long SECOND_MICROS = 1_000_000;

    private CampaignSettings() {}

    /** Returns the settings of the run with a seed. */
    static PolicySettings ofSeed(long seed) {
        return new PolicySettings(
                seed,
                0,
                1,
                "b0",
                List.of(
                        new RequestClass(
                                "safe",
                                Idempotency.IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND_MICROS,
                                4 * SECOND_MICROS,
                                1,
                                0.1,
                                false),
                        new RequestClass(
                                "keyed",
                                Idempotency.IDEMPOTENT_BY_KEY,
                                KeyScope.ZONE,
                                KEY_WINDOW_MICROS,
                                SECOND_MICROS,
                                5 * SECOND_MICROS,
                                2,
                                0.5,
                                false),
                        new RequestClass(
                                "unsafe",
                                Idempotency.NON_IDEMPOTENT,
                                KeyScope.ALL,
                                0,
                                SECOND_MICROS,
                                4 * SECOND_MICROS,
                                5,
                                0.3,
                                false)),
                List.of(),
                List.of(new DestinationKind("k", false, 1)),
                List.of(new Zone("b0", 0), new Zone("b1", 0)),
                new RelayLimits(8, 200, 12, true, false, false, false, true, SECOND_MICROS),
                new ServiceRules(0, SECOND_MICROS / 2, 2.5, 2 * SECOND_MICROS, 0.2, 5 * SECOND_MICROS, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
    }
}
