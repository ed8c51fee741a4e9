package loftflow.policy;

/**
 * Provides the limit of a group in calls per second of all relays together: the limit reported by the destination, else
 * the one listed by discovery as far as the settings trust it; 0 if neither is known.
 */
final class KnownLimits {
    /** Factor by which a rough listed rate may be too high. */
    private static final double ROUGH_RATE_DIVISOR = 1.5;

    private final RoundContext context;

    KnownLimits(RoundContext context) {
        this.context = context;
    }

    double limitPerSecond(LimitGroup group) {
        double listed = group.routes.stream()
                .filter(route -> route.listed)
                .mapToDouble(route -> route.listedRatePerSecond)
                .max()
                .orElse(0);
        double trusted =
                switch (context.settings().rateHint()) {
                    case NONE -> 0;
                    case NOMINAL -> listed;
                    case ROUGH -> listed / ROUGH_RATE_DIVISOR;
                };
        return group.reportedLimitPerSecond > 0 ? group.reportedLimitPerSecond : trusted;
    }
}
