package loftflow.experiment;

import java.util.LinkedHashMap;
import java.util.Map;
import loftflow.experiment.evaluation.FleetCostReport;
import loftflow.experiment.evaluation.RuleReport;
import loftflow.experiment.evaluation.ServiceReport;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Scenario;

/**
 * The evaluation of one run.
 *
 * @param events number of events in the emulator; 0 for a run on loopback
 */
public record RunResult(
        Scenario scenario,
        long seed,
        ServiceReport service,
        FleetCostReport costs,
        RuleReport rules,
        RunHistory history,
        long events) {
    private static final double MICROS_PER_MILLI = 1_000.0;

    /** The figures that are stored and compared, by name and in the order of reports. */
    public Map<String, Double> figures() {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("service", service.score());
        figures.put("whole", service.overall());
        figures.put("worst-window", service.worstWindow());
        figures.put("worst-class", service.worstClass());
        figures.put("worst-tenant", service.worstTenant());
        figures.put("p50-ms", service.p50Millis());
        figures.put("p99-ms", service.p99Millis());
        figures.put("refused", (double) service.rejected());
        figures.put("failed", (double) service.failed());
        figures.put("attempts", service.attemptsPerMessage());
        figures.put("peak-load", service.peakLoad());
        figures.put("checks", total(CallCounts.Metric.PROBES));
        figures.put("calls-refused", total(CallCounts.Metric.REJECTED));
        figures.put("calls-lost", total(CallCounts.Metric.CONNECT_FAILED) + total(CallCounts.Metric.NO_RESPONSE));
        figures.put("untried", (double) costs.rejectedWithoutAttempt());
        figures.put("latest-end-ms", costs.maxLatenessMicros() / MICROS_PER_MILLI);
        figures.put("breaches", (double) breaches());
        return figures;
    }

    private double total(CallCounts.Metric metric) {
        return costs.counts().total(metric);
    }

    private long breaches() {
        return rules.counts().values().stream().mapToInt(Integer::intValue).sum();
    }
}
