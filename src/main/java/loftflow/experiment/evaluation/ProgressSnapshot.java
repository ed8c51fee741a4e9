package loftflow.experiment.evaluation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.Scenario;

/**
 * The state of a run in progress, for display.
 *
 * @param atMicros time since the start of the run
 * @param score value delivered divided by the value of all settled messages, from 0 to 1
 * @param open messages that are accepted and neither delivered nor completed otherwise
 * @param submittedPerSecond messages submitted in the last second
 * @param deliveredPerSecond messages delivered in the last second
 * @param endpoints by serving state, the worst first, then by their load in the last whole second, the highest first
 */
public record ProgressSnapshot(
        long atMicros,
        double score,
        long submitted,
        long delivered,
        long rejected,
        long failed,
        long open,
        long submittedPerSecond,
        long deliveredPerSecond,
        List<EndpointProgress> endpoints) {
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** One endpoint: calls in the last whole second, its capacity now, and how it responds to calls. */
    public record EndpointProgress(
            String name,
            String partner,
            String zone,
            long callsPerSecond,
            double capacityPerSecond,
            FaultSchedule.ServingState servingState) {
        private static final double MIN_CAPACITY_PER_SECOND = 0.01;

        /** Calls as a multiple of the capacity. */
        public double load() {
            return callsPerSecond / Math.max(MIN_CAPACITY_PER_SECOND, capacityPerSecond);
        }
    }

    public ProgressSnapshot {
        endpoints = List.copyOf(endpoints);
    }

    /** Takes a snapshot; to be called on the thread that writes the history. */
    public static ProgressSnapshot of(
            Scenario scenario, Scenario.Layout layout, FaultSchedule faults, RunHistory history, long nowMicros) {
        Totals totals = new Totals(scenario, nowMicros);
        history.messages().forEach(totals::add);
        return new ProgressSnapshot(
                nowMicros,
                totals.settledValue.share(),
                history.messages().size(),
                totals.delivered,
                totals.rejected,
                totals.failed,
                totals.open,
                totals.submittedLately,
                totals.deliveredLately,
                endpoints(layout, faults, totals.callsByEndpoint, nowMicros));
    }

    private static List<EndpointProgress> endpoints(
            Scenario.Layout layout, FaultSchedule faults, Map<Integer, Long> callsByEndpoint, long nowMicros) {
        List<EndpointProgress> endpoints = new ArrayList<>();
        for (Scenario.Endpoint endpoint : layout.endpoints()) {
            Scenario.PartnerGroup group =
                    layout.partners().get(endpoint.partner()).group();
            FaultSchedule.EndpointCondition condition = faults.conditionAt(endpoint.number(), nowMicros);
            endpoints.add(new EndpointProgress(
                    endpoint.route(),
                    group.name(),
                    endpoint.zone(),
                    callsByEndpoint.getOrDefault(endpoint.number(), 0L),
                    group.capacityPerSecond() * condition.capacityShare() / condition.slowdownFactor(),
                    condition.servingState()));
        }
        endpoints.sort(Comparator.comparing(EndpointProgress::servingState)
                .thenComparing(
                        Comparator.comparingDouble(EndpointProgress::load).reversed()));
        return endpoints;
    }

    /** Running totals over the messages of a history. */
    private static final class Totals {
        private final Scenario scenario;
        private final long nowMicros;
        /** Start of the last whole second. */
        private final long secondFromMicros;

        private final DeliveredValue settledValue = new DeliveredValue();
        private final Map<Integer, Long> callsByEndpoint = new HashMap<>();
        private long delivered;
        private long rejected;
        private long failed;
        private long open;
        private long submittedLately;
        private long deliveredLately;

        Totals(Scenario scenario, long nowMicros) {
            this.scenario = scenario;
            this.nowMicros = nowMicros;
            secondFromMicros = Math.max(0, nowMicros / MICROS_PER_SECOND - 1) * MICROS_PER_SECOND;
        }

        void add(MessageHistory message) {
            boolean isDelivered = message.isDelivered();
            MessageHistory.ClientOutcome outcome = message.clientOutcome();
            boolean isRejected = outcome == MessageHistory.ClientOutcome.REJECTED;
            boolean isFailed = outcome == MessageHistory.ClientOutcome.FAILED;
            delivered += isDelivered ? 1 : 0;
            rejected += isRejected ? 1 : 0;
            failed += isFailed ? 1 : 0;
            open += outcome == MessageHistory.ClientOutcome.ACCEPTED && !isDelivered ? 1 : 0;
            submittedLately += isWithinLastSecond(message.submittedAtMicros()) ? 1 : 0;
            deliveredLately += isDelivered && isWithinLastSecond(message.deliveredAtMicros()) ? 1 : 0;
            if (isDelivered || isRejected || isFailed) {
                addValue(message, isDelivered);
            }
            message.calls().forEach(this::addCall);
        }

        private boolean isWithinLastSecond(long timeMicros) {
            return nowMicros - timeMicros < MICROS_PER_SECOND;
        }

        private void addValue(MessageHistory message, boolean isDelivered) {
            Scenario.MessageClass messageClass = scenario.classes().get(message.classIndex());
            double weight = messageClass.priorityWeight();
            long elapsedMicros = message.deliveredAtMicros() - message.submittedAtMicros();
            double remaining = isDelivered ? ServiceEvaluator.remainingValue(messageClass, elapsedMicros) : 0;
            settledValue.add(weight, isDelivered ? weight * remaining : 0);
        }

        private void addCall(MessageHistory.Call call) {
            long arrivedAtMicros = call.arrivedAtMicros();
            if (arrivedAtMicros >= secondFromMicros && arrivedAtMicros < secondFromMicros + MICROS_PER_SECOND) {
                callsByEndpoint.merge(call.endpoint(), 1L, Long::sum);
            }
        }
    }
}
