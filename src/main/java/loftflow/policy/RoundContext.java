package loftflow.policy;

import java.util.SplittableRandom;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicySettings;

/**
 * State that all rules of a policy instance share: the settings, the clock of the current round, the actions of the
 * round, and the only source of random numbers. Not thread-safe; a policy belongs to one thread.
 */
final class RoundContext {
    static final long MICROS_PER_SECOND = 1_000_000;

    /** Size of the largest fleet in which a relay sends each destination enough calls to learn its limit from them. */
    private static final int MAX_SMALL_FLEET = 12;

    /** Number of relays assumed to send at once when a limit that none of them knows is first exceeded. */
    static final double ASSUMED_SENDERS = 12;

    /** Width of the random variation of a pause relative to the pause, so that relays do not act in step. */
    private static final double JITTER_SHARE = 1;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private long nowMicros;
    private PolicyActions actions;

    RoundContext(PolicySettings settings) {
        this.settings = settings;
        random = new SplittableRandom(settings.seed());
    }

    /** Starts a round at a given time; {@code actions} are valid until the next round starts. */
    void startRound(long now, PolicyActions roundActions) {
        nowMicros = now;
        actions = roundActions;
    }

    /** Sets the clock for reading state outside a round. */
    void setClock(long now) {
        nowMicros = now;
    }

    /** Returns the time of the current round in microseconds. */
    long now() {
        return nowMicros;
    }

    PolicyActions actions() {
        return actions;
    }

    PolicySettings settings() {
        return settings;
    }

    /** Returns whether the fleet is so large that one relay's own calls reveal little of a destination's limit. */
    boolean isLargeFleet() {
        return settings.fleetSize() > MAX_SMALL_FLEET;
    }

    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    double nextRandom() {
        return random.nextDouble();
    }

    /** Returns a random pause between half and one and a half times the given one. */
    long withJitter(long pauseMicros) {
        return (long) (pauseMicros * (1 - JITTER_SHARE / 2 + JITTER_SHARE * random.nextDouble()));
    }

    /** Returns the microseconds between two calls at a rate; 0 for an infinite rate. */
    static long intervalMicros(double ratePerSecond) {
        return ratePerSecond == Double.POSITIVE_INFINITY ? 0 : (long) (MICROS_PER_SECOND / ratePerSecond);
    }
}
