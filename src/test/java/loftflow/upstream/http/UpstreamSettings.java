package loftflow.upstream.http;

import java.util.List;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.RateHint;
import loftflow.policy.api.RelayLimits;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.ServiceRules;

/** Creates settings with one request class and one destination kind, for tests of the HTTP client. */
final class UpstreamSettings {
    private static final long SECOND_MICROS = 1_000_000;

    private UpstreamSettings() {}

    static PolicySettings withMaxBatchSize(int maxBatchSize) {
        return new PolicySettings(
                3,
                0,
                1,
                "b0",
                List.of(new RequestClass(
                        "unsafe",
                        Idempotency.NON_IDEMPOTENT,
                        KeyScope.ALL,
                        0,
                        SECOND_MICROS,
                        30 * SECOND_MICROS,
                        5,
                        0.3,
                        false)),
                List.of(),
                List.of(new DestinationKind("k", false, maxBatchSize)),
                List.of(),
                new RelayLimits(8, 200, 12, true, true, false, false, true, 5 * SECOND_MICROS),
                new ServiceRules(0, SECOND_MICROS / 2, 2.5, 2 * SECOND_MICROS, 0.2, 5 * SECOND_MICROS, 0, 0),
                1,
                false,
                false,
                RateHint.NONE,
                0);
    }
}
