package loftflow.policy;

import java.util.SplittableRandom;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicySettings;

/**
 * What every rule of one policy instance shares: the settings, the clock of the current round, the actions that the
 * round may take, and the one source of random numbers. Not thread-safe; a policy belongs to one thread.
 */
final class RoundContext {
    static final long MICROS_PER_SECOND = 1_000_000;

    /** In a larger fleet a relay sends each destination too little to learn its limit from its own calls. */
    private static final int MAX_SMALL_FLEET = 12;

    /** How many relays are taken to be sending at once when a limit that none of them knows is first exceeded. */
    static final double ASSUMED_SENDERS = 12;

    /** Width of the random spread of a pause, as a share of the pause, so that relays do not act in step. */
    private static final double JITTER_SHARE = 1;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private long nowMicros;
    private PolicyActions actions;

    RoundContext(PolicySettings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed());
    }

    /** Starts a round at a time; {@code actions} are valid until the next round starts. */
    void startRound(long now, PolicyActions roundActions) {
        nowMicros = now;
        actions = roundActions;
    }

    /** Sets the clock where nothing but reading is to happen. */
    void setClock(long now) {
        nowMicros = now;
    }

    /** The time of the current round, in microseconds. */
    long now() {
        return nowMicros;
    }

    PolicyActions actions() {
        return actions;
    }

    PolicySettings settings() {
        return settings;
    }

    /** True where the fleet is so large that one relay's own calls reveal little of a destination's limit. */
    boolean isLargeFleet() {
        return settings.fleetSize() > MAX_SMALL_FLEET;
    }

    /** A random number from 0 (inclusive) to 1 (exclusive). */
    double nextRandom() {
        return random.nextDouble();
    }

    /** A pause of between half and one and a half times the given one. */
    long withJitter(long pauseMicros) {
        return (long) (pauseMicros * (1 - JITTER_SHARE / 2 + JITTER_SHARE * random.nextDouble()));
    }

    /** Microseconds between two calls at a rate; 0 for an infinite rate. */
    static long intervalMicros(double ratePerSecond) {
        return ratePerSecond == Double.POSITIVE_INFINITY ? 0 : (long) (MICROS_PER_SECOND / ratePerSecond);
    }
}
