package loftflow.experiment.evaluation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * Computes service as the users define it: the value of delivered messages divided by the value of submitted ones. A
 * message delivered within the latency objective of its class has its full priority weight; after that the value
 * decreases linearly to the class's late weight at the deadline. Resubmissions count with the first submission, and
 * traffic above a tenant's quota counts with a reduced weight.
 */
public final class ServiceEvaluator {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int WINDOW_SECONDS = 10;
    /** A window with less than this share of the mean value per window is ignored. */
    private static final double MIN_WINDOW_SHARE = 0.1;

    private static final double OVERALL_WEIGHT = 0.4;
    private static final double WORST_WINDOW_WEIGHT = 0.3;
    private static final double WORST_CLASS_WEIGHT = 0.2;
    private static final double WORST_TENANT_WEIGHT = 0.1;

    private final Scenario scenario;
    private final RuleLimits limits;
    private final RunHistory history;
    private final DeliveredValue overall = new DeliveredValue();
    private final List<DeliveredValue> bySecond;
    private final List<DeliveredValue> byTenant;
    private final List<ClassTally> byClass;
    private final List<TenantQuota> quotas;

    private ServiceEvaluator(Scenario scenario, RuleLimits limits, RunHistory history) {
        this.scenario = scenario;
        this.limits = limits;
        this.history = history;
        int seconds = (int) (scenario.durationMicros() / MICROS_PER_SECOND) + 1;
        bySecond = Stream.generate(DeliveredValue::new).limit(seconds).toList();
        byTenant =
                scenario.tenants().stream().map(tenant -> new DeliveredValue()).toList();
        byClass = scenario.classes().stream().map(c -> new ClassTally()).toList();
        quotas = scenario.tenants().stream()
                .map(tenant -> new TenantQuota(tenant.quotaPerSecond()))
                .toList();
    }

    /** Evaluates a run that is over. */
    public static ServiceReport evaluate(Scenario scenario, RuleLimits limits, RunHistory history) {
        ServiceEvaluator evaluator = new ServiceEvaluator(scenario, limits, history);
        history.messages().forEach(evaluator::add);
        return evaluator.report();
    }

    /**
     * The share of its priority weight that a message of a class still has.
     *
     * @param elapsedMicros time from its first submission to its delivery
     */
    public static double remainingValue(Scenario.MessageClass messageClass, long elapsedMicros) {
        long objectiveMicros = messageClass.latencyObjectiveMicros();
        if (elapsedMicros <= objectiveMicros) {
            return 1;
        }
        if (elapsedMicros > messageClass.deadlineMicros()) {
            return 0;
        }
        return 1
                - (1 - messageClass.lateWeight())
                        * (elapsedMicros - objectiveMicros)
                        / (messageClass.deadlineMicros() - objectiveMicros);
    }

    private void add(MessageHistory message) {
        Scenario.MessageClass messageClass = scenario.classes().get(message.classIndex());
        long submittedAtMicros = message.submittedAtMicros();
        boolean hasTenant = message.tenant() >= 0;
        boolean isWithinQuota = !hasTenant || quotas.get(message.tenant()).tryAcquire(submittedAtMicros);
        double value = messageClass.priorityWeight() * (isWithinQuota ? 1 : limits.overQuotaWeight());
        double deliveredValue = message.isDelivered()
                ? value * remainingValue(messageClass, message.deliveredAtMicros() - submittedAtMicros)
                : 0;
        overall.add(value, deliveredValue);
        int second = (int) Math.min(bySecond.size() - 1, submittedAtMicros / MICROS_PER_SECOND);
        bySecond.get(second).add(value, deliveredValue);
        byClass.get(message.classIndex()).add(message, value, deliveredValue);
        if (hasTenant && isWithinQuota) {
            byTenant.get(message.tenant()).add(value, deliveredValue);
        }
    }

    private ServiceReport report() {
        double worstWindow = worstWindow();
        double worstClass =
                byClass.stream().mapToDouble(ClassTally::share).min().orElse(1);
        double worstTenant =
                byTenant.stream().mapToDouble(DeliveredValue::share).min().orElse(overall.share());
        Histogram latencyMicros = ClassTally.newHistogram();
        byClass.forEach(tally -> latencyMicros.add(tally.latencyMicros()));
        long submitted = history.messages().size();
        return new ServiceReport(
                OVERALL_WEIGHT * overall.share()
                        + WORST_WINDOW_WEIGHT * worstWindow
                        + WORST_CLASS_WEIGHT * worstClass
                        + WORST_TENANT_WEIGHT * worstTenant,
                overall.share(),
                worstWindow,
                worstClass,
                worstTenant,
                submitted,
                sum(ClassTally::delivered),
                sum(ClassTally::rejected),
                sum(ClassTally::failed),
                ClassTally.percentileMillis(latencyMicros, 50),
                ClassTally.percentileMillis(latencyMicros, 99),
                (double) sum(ClassTally::calls) / Math.max(1, submitted),
                peakLoad(),
                classReports());
    }

    private long sum(ToLongFunction<ClassTally> count) {
        return byClass.stream().mapToLong(count).sum();
    }

    private List<ClassReport> classReports() {
        List<ClassReport> reports = new ArrayList<>();
        for (int i = 0; i < byClass.size(); i++) {
            reports.add(byClass.get(i).report(scenario.classes().get(i).name()));
        }
        return List.copyOf(reports);
    }

    private double worstWindow() {
        double meanValue = overall.submitted() / bySecond.size() * WINDOW_SECONDS;
        double worst = overall.share();
        for (int from = 0; from + WINDOW_SECONDS <= bySecond.size(); from++) {
            DeliveredValue window = new DeliveredValue();
            bySecond.subList(from, from + WINDOW_SECONDS).forEach(window::add);
            if (window.submitted() > meanValue * MIN_WINDOW_SHARE) {
                worst = Math.min(worst, window.share());
            }
        }
        return worst;
    }

    /** A single call in a second is no load, however small the endpoint's capacity. */
    private double peakLoad() {
        return history.endpointLoads().stream()
                .filter(load -> load.calls() > 1)
                .mapToDouble(load -> load.calls() / load.capacityPerSecond())
                .max()
                .orElse(0);
    }
}
