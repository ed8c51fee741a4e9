package loftflow.experiment.emulator;

import java.util.function.Function;
import java.util.function.UnaryOperator;
import loftflow.engine.Clock;
import loftflow.engine.WriteAheadLog;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.PolicySettings;

/**
 * The parts that each emulated relay is assembled from; tests replace one to inject a fault.
 *
 * @param policy creates the decision module
 * @param journal wraps the journal, anew for each process of the relay
 * @param clock wraps the virtual clock
 */
public record RelayComponents(
        Function<PolicySettings, DeliveryPolicy> policy,
        UnaryOperator<WriteAheadLog> journal,
        UnaryOperator<Clock> clock) {
    /** A decision module with an unmodified journal and clock. */
    public static RelayComponents of(Function<PolicySettings, DeliveryPolicy> policy) {
        return new RelayComponents(policy, UnaryOperator.identity(), UnaryOperator.identity());
    }
}
