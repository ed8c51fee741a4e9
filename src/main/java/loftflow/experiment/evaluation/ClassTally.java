package loftflow.experiment.evaluation;

import loftflow.experiment.history.MessageHistory;
import org.HdrHistogram.Histogram;

/** The running totals of one message class. */
final class ClassTally {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final DeliveredValue value = new DeliveredValue();
    private final Histogram latencyMicros = newHistogram();
    private long submitted;
    private long delivered;
    private long rejected;
    private long failed;
    private long calls;

    /** An empty histogram of latencies in microseconds. */
    static Histogram newHistogram() {
        return new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    }

    /** A percentile of a latency histogram, in milliseconds. */
    static double percentileMillis(Histogram latencyMicros, double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Adds a message with its value and the part of it that was delivered. */
    void add(MessageHistory message, double submittedValue, double deliveredValue) {
        value.add(submittedValue, deliveredValue);
        submitted++;
        calls += message.calls().size();
        if (message.isDelivered()) {
            delivered++;
            latencyMicros.recordValue(
                    Math.min(MAX_LATENCY_MICROS, message.deliveredAtMicros() - message.submittedAtMicros()));
        } else if (message.clientOutcome() == MessageHistory.ClientOutcome.REJECTED) {
            rejected++;
        } else {
            failed++;
        }
    }

    double share() {
        return value.share();
    }

    long delivered() {
        return delivered;
    }

    long rejected() {
        return rejected;
    }

    long failed() {
        return failed;
    }

    long calls() {
        return calls;
    }

    Histogram latencyMicros() {
        return latencyMicros;
    }

    ClassReport report(String name) {
        return new ClassReport(
                name,
                value.share(),
                submitted,
                delivered,
                rejected,
                failed,
                percentileMillis(latencyMicros, 50),
                percentileMillis(latencyMicros, 99),
                (double) calls / Math.max(1, submitted));
    }
}
