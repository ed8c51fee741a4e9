package pipitstage.lab.model;

import java.util.function.Function;
import java.util.function.UnaryOperator;
import pipitstage.Policy;
import pipitstage.engine.Clock;
import pipitstage.engine.WriteAhead;

/**
 * What each relay of a run is made of.
 *
 * @param module makes its decision module
 * @param journal what stands before its journal, for each of its lives
 * @param clock what its clock makes of the true time
 */
public record Program(
        Function<Policy.Settings, Policy> module, UnaryOperator<WriteAhead> journal, UnaryOperator<Clock> clock) {
    /** A module with a journal and a clock that are as they should be. */
    public static Program of(Function<Policy.Settings, Policy> module) {
        return new Program(module, UnaryOperator.identity(), UnaryOperator.identity());
    }
}
