package loftflow.experiment.emulator;

import java.util.function.Function;
import java.util.function.UnaryOperator;
import loftflow.engine.Clock;
import loftflow.engine.WriteAheadLog;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.PolicySettings;

/**
 * What each relay of a run is made of.
 *
 * @param module makes its decision module
 * @param journal what stands before its journal, for each of its lives
 * @param clock what its clock makes of the true time
 */
public record RelayComponents(
        Function<PolicySettings, DeliveryPolicy> module,
        UnaryOperator<WriteAheadLog> journal,
        UnaryOperator<Clock> clock) {
    /** A module with a journal and a clock that are as they should be. */
    public static RelayComponents of(Function<PolicySettings, DeliveryPolicy> module) {
        return new RelayComponents(module, UnaryOperator.identity(), UnaryOperator.identity());
    }
}
