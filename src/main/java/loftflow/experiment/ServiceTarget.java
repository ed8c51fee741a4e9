package loftflow.experiment;

/**
 * What a load must achieve to pass.
 *
 * @param score the lowest service score
 * @param p99Millis the highest p99 latency in milliseconds
 */
public record ServiceTarget(double score, double p99Millis) {
    /** True if a run meets the target without a rule violation. */
    boolean isMetBy(RunResult result) {
        return result.service().score() >= score
                && result.service().p99Millis() <= p99Millis
                && result.rules().isClean();
    }
}
