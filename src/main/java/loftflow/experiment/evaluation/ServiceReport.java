package loftflow.experiment.evaluation;

import java.util.List;

/**
 * The service figures of a run. Shares are from 0 to 1, message counts include each message once.
 *
 * @param score the weighted figure made of the four shares that follow
 * @param overall share of the submitted value that was delivered in the whole run
 * @param worstWindow the lowest share of any 10 s window
 * @param worstClass the lowest share of any message class
 * @param worstTenant the lowest share of any tenant, within its quota
 * @param p50Millis median time from submission to delivery in milliseconds; 0 where nothing was delivered
 * @param p99Millis the 99th percentile of that time
 * @param attemptsPerMessage calls per message
 * @param peakLoad the highest load of an endpoint in any second, as a multiple of its capacity at that time
 */
public record ServiceReport(
        double score,
        double overall,
        double worstWindow,
        double worstClass,
        double worstTenant,
        long submitted,
        long delivered,
        long rejected,
        long failed,
        double p50Millis,
        double p99Millis,
        double attemptsPerMessage,
        double peakLoad,
        List<ClassReport> classes) {}
