package loftflow.policy.api;

import java.util.List;

/**
 * Decides for one relay which message is sent, when, by which route, how long it is waited for, and which message is
 * rejected or failed. A relay calls {@link #onRound} whenever something has happened and carries out the actions in the
 * order given.
 *
 * <p>All times are microseconds on the clock of the rounds, which never steps back. One thread at a time; instances
 * share nothing. The same settings and rounds give the same actions.
 */
public interface DeliveryPolicy {

    /**
     * Runs one round.
     *
     * @param now the time of the round
     * @param events what has happened since the last round, in order of arrival
     * @param actions what the policy may do; valid until this method returns
     */
    void onRound(long now, List<PolicyEvent> events, PolicyActions actions);

    /** What is worth storing of each listed route over a restart; empty where a policy stores nothing. */
    default List<RouteSnapshot> routeSnapshots(long now) {
        return List.of();
    }
}
