package loftflow.policy.api;

import java.util.List;

/**
 * Decides for one relay which messages are sent, when, by which route and with which timeout, and which messages are
 * rejected or failed. A relay calls {@link #onRound} whenever events have occurred and carries out the actions in the
 * order given.
 *
 * <p>All times are microseconds on the clock of the rounds, which never runs backwards. An instance is used by one
 * thread at a time; instances share no state. The same settings and rounds produce the same actions.
 */
public interface DeliveryPolicy {

    /**
     * Runs one round.
     *
     * @param now the time of the round
     * @param events events since the last round, in order of arrival
     * @param actions carries out the decisions of this round; valid until this method returns
     */
    void onRound(long now, List<PolicyEvent> events, PolicyActions actions);

    /**
     * Returns the state of each listed route that is worth storing across a restart; empty if the policy stores none.
     */
    default List<RouteSnapshot> routeSnapshots(long now) {
        return List.of();
    }
}
