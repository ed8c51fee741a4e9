package loftflow.experiment.evaluation;

/**
 * The service figures of one message class.
 *
 * @param score value delivered divided by value submitted, from 0 to 1
 * @param p50Millis median time from submission to delivery in milliseconds; 0 where nothing was delivered
 * @param p99Millis the 99th percentile of that time
 * @param attemptsPerMessage calls per message
 */
public record ClassReport(
        String name,
        double score,
        long submitted,
        long delivered,
        long rejected,
        long failed,
        double p50Millis,
        double p99Millis,
        double attemptsPerMessage) {}
