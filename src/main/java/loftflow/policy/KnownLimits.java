package loftflow.policy;

/**
 * How many calls a second does a group take from all relays together? The limit that the destination reported, else the
 * one that discovery lists, as far as the settings trust it; 0 where neither is known.
 */
final class KnownLimits {
    /** A rough listed rate may be too high by up to this factor. */
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
