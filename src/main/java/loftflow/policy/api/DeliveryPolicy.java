package loftflow.policy.api;

import java.util.List;

/**
 * What a relay tells its decision module and what the module may answer.
 *
 * <p>All times and spans are in microseconds, on the clock of the rounds. A relay calls
 * {@link #onRound} whenever something has happened and carries out the actions in the order given.
 */
public interface DeliveryPolicy {

    /** Takes in every event of one round, in order of arrival, and then acts once. */
    void onRound(long now, List<PolicyEvent> events, PolicyActions actions);

    /** What is worth remembering of each listed route over a restart; a module may have nothing to tell. */
    default List<RouteSnapshot> routeSnapshots(long now) {
        return List.of();
    }
}
