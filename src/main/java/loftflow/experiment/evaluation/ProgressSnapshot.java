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
 * How a run stands while it goes on: what a screen shows.
 *
 * @param at microseconds from the beginning
 * @param service worth delivered over worth of all that is settled, from 0 to 1
 * @param open messages that are taken on and neither delivered nor ended
 * @param asking messages handed in in the last second, and {@code delivering} those delivered
 * @param endpoints by how much they were asked of in the last whole second, the busiest for what it can do first
 */
public record ProgressSnapshot(
        long at,
        double service,
        long asked,
        long delivered,
        long refused,
        long failed,
        long open,
        long asking,
        long delivering,
        List<OfEndpoint> endpoints) {
    private static final long SECOND = 1_000_000;

    /** One endpoint: calls in the last whole second, what it could do then, and how it meets calls. */
    public record OfEndpoint(
            String name, String partner, String building, long calls, double able, FaultSchedule.Meets meets) {
        /** Calls beside what it can do. */
        public double load() {
            return calls / Math.max(0.01, able);
        }
    }

    public ProgressSnapshot {
        endpoints = List.copyOf(endpoints);
    }

    /** Takes one, on the thread that writes the history. */
    public static ProgressSnapshot of(
            Scenario scenario, Scenario.Layout layout, FaultSchedule faults, RunHistory history, long now) {
        double worth = 0;
        double got = 0;
        long[] counts = new long[6];
        Map<Integer, Long> calls = new HashMap<>();
        long from = Math.max(0, now / SECOND - 1) * SECOND;
        for (MessageHistory ask : history.asks()) {
            Scenario.MessageClass type = scenario.classes().get(ask.type());
            boolean delivered = ask.isDelivered();
            boolean refused = ask.told() == MessageHistory.Told.REFUSED;
            boolean failed = ask.told() == MessageHistory.Told.FAILED;
            counts[0] += delivered ? 1 : 0;
            counts[1] += refused ? 1 : 0;
            counts[2] += failed ? 1 : 0;
            counts[3] += ask.told() == MessageHistory.Told.TAKEN && !delivered ? 1 : 0;
            counts[4] += now - ask.at() < SECOND ? 1 : 0;
            counts[5] += delivered && now - ask.doneAt() < SECOND ? 1 : 0;
            if (delivered || refused || failed) {
                worth += type.worth();
                got += delivered ? type.worth() * ServiceReport.left(type, ask.doneAt() - ask.at()) : 0;
            }
            for (MessageHistory.Posting posting : ask.postings()) {
                if (posting.came() >= from && posting.came() < from + SECOND) {
                    calls.merge(posting.endpoint(), 1L, Long::sum);
                }
            }
        }
        List<OfEndpoint> endpoints = new ArrayList<>();
        for (Scenario.Endpoint e : layout.endpoints()) {
            Scenario.Group group = layout.partners().get(e.partner()).group();
            FaultSchedule.State state = faults.state(e.number(), now);
            endpoints.add(new OfEndpoint(
                    e.route(),
                    group.name(),
                    e.building(),
                    calls.getOrDefault(e.number(), 0L),
                    group.capacity() * state.able() / state.slower(),
                    state.meets()));
        }
        endpoints.sort(Comparator.comparing(OfEndpoint::meets)
                .thenComparing(Comparator.comparingDouble(OfEndpoint::load).reversed()));
        return new ProgressSnapshot(
                now,
                worth == 0 ? 1 : got / worth,
                history.asks().size(),
                counts[0],
                counts[1],
                counts[2],
                counts[3],
                counts[4],
                counts[5],
                endpoints);
    }
}
